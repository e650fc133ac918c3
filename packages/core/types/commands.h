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

/** The commands with which a core has its process do I/O on its behalf. */
namespace mulberrysail::core {

struct SendMessage
{
  ProcessId m_to;
  Message m_message;
};

/** Sends the final answer to a caller; issued exactly once for each token. */
struct AnswerCaller
{
  CallerToken m_caller;
  Answer m_answer;
};

/** Sends the id of an admitted detached job to its caller, which then polls the
 * job's status for the answer. */
struct SendSubmissionId
{
  CallerToken m_caller;
  SubmissionId m_submission;
};

/** The endpoint or worker on which an attempt runs. */
struct RunTarget
{
  WorkKind m_kind = WorkKind::Request;
  /** The worker's name, or for an endpoint the name of its service. */
  std::string m_name;
  /** The announced URL, http://IP:port. */
  std::string m_url;
  /** The worker's incarnation; empty if it announced none. */
  std::string m_incarnation = {};
  /** A worker with run leases does nothing for a command with a lower token
   * than the highest it has received. */
  std::uint64_t m_fencingToken = 0;
};

/** Identifies one start of one task to a worker. */
struct RunName
{
  std::string m_task;
  /** Number of this start of the task, from 1. */
  std::uint32_t m_startNumber = 1;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const RunName&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** Starts a run. The process must send the start at most once and must not
 * retry it after an error, because the work could run twice. */
struct StartRun
{
  RunId m_run;
  RunTarget m_target;
  Resources m_need;
  /** How long the run may take. A worker with run leases takes
   * m_leaseEndsAt instead. */
  Duration m_lease{};
  std::string m_payload;
  RunName m_name = {};
  /** When the worker ends the run unless the lease is renewed. A time and not a
   * duration, as the process may stand still before it sends the start. Absent
   * for a worker without run leases. */
  std::optional<WorkerInstant> m_leaseEndsAt = std::nullopt;
};

/** Stops a task that is still running. Best effort. */
struct StopRun
{
  /** Zero if another incarnation of the agent started the run. */
  RunId m_run;
  RunTarget m_target;
  RunName m_name = {};
};

/** Queries a worker's running and ended runs, and renews their leases. */
struct ObserveRuns
{
  RunTarget m_target;
  /** Returned in RunsObserved, to match the answer with its query. */
  std::uint64_t m_observationId = 0;
  /** Renews the leases of all runs on the worker until then; absent for a query
   * without renewal. See StartRun::m_leaseEndsAt. */
  std::optional<WorkerInstant> m_renewUntil;
  /** The worker may discard ended runs whose EndedRun::m_number is at most this
   * value. */
  std::uint64_t m_acknowledgedRun = 0;
  /** How long the worker may delay its answer while no run ends. */
  Duration m_wait{};
};

/** Records an event in the timeline and in the log. */
struct RecordEvent
{
  EventCode m_code;
  /** The id of the submission, attempt or run concerned; zero if there is
   * none. */
  std::uint64_t m_subject = 0;
  EventDetail m_detail = {};
  /** The caller's identifier for the work: its key, or the name of its job or
   * task. Empty if the caller gave none. */
  std::string m_id = {};
};

/** Applies a configuration received from a peer, if it is valid and newer than
 * the one in force. */
struct ApplyConfig
{
  ConfigVersion m_version;
  std::string m_document;
};

/** Makes the process report itself as ready or not ready to its load balancer,
 * and close a share of its callers' connections. */
struct ChangeRotation
{
  bool m_inRotation = true;
  /** Share of the connections that are closed after their next response. */
  std::uint32_t m_closePercent = 0;
};

using EntryCommand = std::variant<SendMessage,
                                  AnswerCaller,
                                  SendSubmissionId,
                                  RecordEvent,
                                  ApplyConfig,
                                  ChangeRotation>;
using AgentCommand =
  std::variant<SendMessage, StartRun, StopRun, ObserveRuns, RecordEvent>;

using EntryCommands = std::vector<EntryCommand>;
using AgentCommands = std::vector<AgentCommand>;

} // namespace mulberrysail::core
