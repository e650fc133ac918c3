#pragma once

#include "core/types/answer.h"
#include "core/types/eventcode.h"
#include "core/types/messages.h"

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
};

/** Stops a task if it still runs. Best effort. */
struct StopRun
{
  RunId m_run;
  RunTarget m_target;
};

/** Puts an event on the time line and in the log. */
struct RecordEvent
{
  EventCode m_code;
  /** The submission, attempt or run, whichever it is about; else zero. */
  std::uint64_t m_subject = 0;
  std::string m_detail;
};

using EntryCommand =
  std::variant<SendMessage, AnswerCaller, SubmissionOpened, RecordEvent>;
using AgentCommand = std::variant<SendMessage, StartRun, StopRun, RecordEvent>;

using EntryCommands = std::vector<EntryCommand>;
using AgentCommands = std::vector<AgentCommand>;

} // namespace mulberrysail::core
