#pragma once

#include "core/types/answer.h"
#include "core/types/eventcode.h"
#include "core/types/eventdetail.h"
#include "core/types/messages.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What the cores ask the process around them to do. */
namespace mulberrysail::core {

struct SendMessage
{
  ProcessId m_to;
  Message m_message;
};

/** Gives the caller its answer. Given once for each token. */
struct AnswerCaller
{
  CallerToken m_caller;
  Answer m_answer;
};

/** A detached job was admitted: its caller gets the id now, and the answer by
 * its status. */
struct SubmissionOpened
{
  CallerToken m_caller;
  SubmissionId m_submission;
};

/** Where an attempt runs. */
struct RunTarget
{
  WorkKind m_kind = WorkKind::Request;
  /** Name of the endpoint's service or of the worker. */
  std::string m_name;
  /** http://IP:port as announced. */
  std::string m_url;
  /** The life of the worker that is meant; empty if it has none. */
  std::string m_incarnation = {};
};

/** One start of one task, as a worker knows it. */
struct RunName
{
  std::string m_task;
  std::uint32_t m_startNumber = 1;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const RunName&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** Starts work. It must be sent at most once, whatever happens. */
struct StartRun
{
  RunId m_run;
  RunTarget m_target;
  Resources m_need;
  /** The worker may stop the task after this long. */
  Duration m_lease{};
  std::string m_payload;
  RunName m_name = {};
};

/** Stops a task if it still runs. Best effort. */
struct StopRun
{
  /** Zero if this life of the agent did not start it. */
  RunId m_run;
  RunTarget m_target;
  RunName m_name = {};
};

/** Asks a worker what runs there and what has ended. */
struct ObserveRuns
{
  RunTarget m_target;
  /** Repeated in the answer. */
  std::uint64_t m_observationId = 0;
  /** Everything that runs there may go on for so long; no renewal if absent. */
  std::optional<Duration> m_renewFor;
  /** Ends up to this number may be forgotten. */
  std::uint64_t m_acknowledged = 0;
  /** The answer may wait for an end for so long. */
  Duration m_wait{};
};

/** Puts an event on the time line and in the log. */
struct RecordEvent
{
  EventCode m_code;
  /** The submission, attempt or run, whichever it is about; else zero. */
  std::uint64_t m_subject = 0;
  EventDetail m_detail = {};
  /** What the caller calls the work: its key, or the name of its job or task;
   * empty if it gave none. */
  std::string m_id = {};
};

using EntryCommand =
  std::variant<SendMessage, AnswerCaller, SubmissionOpened, RecordEvent>;
using AgentCommand =
  std::variant<SendMessage, StartRun, StopRun, ObserveRuns, RecordEvent>;

using EntryCommands = std::vector<EntryCommand>;
using AgentCommands = std::vector<AgentCommand>;

} // namespace mulberrysail::core
