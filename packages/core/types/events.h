#pragma once

#include "core/types/commands.h"
#include "core/types/configuration.h"
#include "core/types/jobspec.h"
#include "core/types/messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The events that a process passes to its cores. */
namespace mulberrysail::core {

/** A message from a peer; the messages of one link keep their order. */
struct MessageReceived
{
  ProcessId m_from;
  Message m_message;
  /** The time of sending on the sender's clock; the epoch if unknown. */
  Instant m_sentAt = {};
};

/** A message could not be handed to the transport: the peer has not received
 * it and never will. */
struct SendFailed
{
  ProcessId m_to;
  Message m_message;
};

/** A link to a peer was reopened; messages may have been lost. */
struct LinkReset
{
  ProcessId m_peer;
};

/** The instant returned by NextWake() has been reached. */
struct TimerFired
{};

/** The process was asked to finish its open work and then stop. */
struct DrainRequested
{};

struct ConfigChanged
{
  Configuration m_configuration;
  /** The JSON text of m_configuration, to send to peers on request. */
  std::string m_document;
};

// ---- entry ----

/** A parsed and syntactically valid request to a service. */
struct SubmitRequest
{
  CallerToken m_caller;
  std::string m_service;
  std::string m_team;
  bool m_repeatable = false;
  std::optional<CallerKey> m_key;
  /** Relative to now; the service's default if absent. */
  std::optional<Duration> m_deadline;
  /** The run time declared by the caller; the service's expected run time if
   * absent. */
  std::optional<Duration> m_declaredRun;
  std::string m_payload;
};

/** A parsed and syntactically valid job. */
struct SubmitJob
{
  CallerToken m_caller;
  std::string m_service;
  std::string m_team;
  std::optional<Duration> m_deadline;
  /** Whether the caller gets the job's id (or a refusal) on admission and polls
   * for the answer, instead of waiting on its connection. */
  bool m_detached = false;
  std::vector<TaskSpec> m_tasks;
  /** The steps; empty if no task depends on another one. */
  std::vector<StepSpec> m_steps = {};
  /** The queue to which the job was submitted, whose service applies; empty if
   * it was submitted directly to a service. */
  std::string m_queue;
  /** The caller's name for the job; empty if there is none. A submission with
   * the name of an open job starts no new job: its caller gets the answer to
   * the open one. */
  std::string m_name = {};
};

struct CancelSubmission
{
  SubmissionId m_submission;
};

/** The caller's connection was closed, so the answer cannot be delivered. */
struct CallerGone
{
  CallerToken m_caller;
};

/** The current entries, excluding the receiver. */
struct PeersChanged
{
  std::vector<ProcessId> m_entries;
};

/** The store held no configuration when this process started, so no entry can
 * have admitted a submission before. */
struct NoPriorSubmissions
{};

/** The zones that operators have drained, as read from the store. */
struct ZoneDrainsChanged
{
  ZoneDrains m_drains;
};

/** A sample of the entry's processor usage. */
struct ProcessorSampled
{
  /** Used share of EntryPolicy::m_processorShare since the last sample, 0 to
   * 1. */
  double m_usedShare = 0;
  /** How late the timer of the sample was. */
  Duration m_lateness{};
};

/** The entry has read everything that its callers sent before m_until: their
 * requests and the ends of their connections. */
struct CallersRead
{
  Instant m_until;
};

/** The entry's transport has handled all messages up to m_until: those that
 * were queued before it have been sent, and those that had arrived were passed
 * on.
 */
struct MessagesHandled
{
  Instant m_until;
};

using EntryEvent = std::variant<MessageReceived,
                                SendFailed,
                                LinkReset,
                                TimerFired,
                                DrainRequested,
                                ConfigChanged,
                                SubmitRequest,
                                SubmitJob,
                                CancelSubmission,
                                CallerGone,
                                PeersChanged,
                                NoPriorSubmissions,
                                ZoneDrainsChanged,
                                ProcessorSampled,
                                CallersRead,
                                MessagesHandled>;

// ---- agent ----

/** The endpoint on the agent's machine announced itself, or that it is
 * leaving. */
struct EndpointAnnounced
{
  EndpointInfo m_info;
  std::string m_url;
};

/** The measured usage of one running task, as reported by its worker. It lags
 * behind the actual usage. */
struct TaskUsage
{
  RunId m_run;
  Resources m_used;
};

struct WorkerAnnounced
{
  WorkerInfo m_info;
  std::string m_url;
  /** Whether the worker accepts no new runs. */
  bool m_leaving = false;
  std::vector<TaskUsage> m_usage;
  /** Whether runs on this worker have leases, which the agent must renew. */
  bool m_hasRunLeases = false;
  /** The worker's incarnation; empty if it announces none. */
  std::string m_incarnation = {};
  /** How much longer the worker runs tasks slowly after its start. */
  Duration m_warmUpRemaining = {};
  /** When the worker started, on its own clock; zero if it does not tell. A
   * worker may start again as the same incarnation, and then knows nothing of
   * its earlier runs, and numbers ends and announcements from 1 again. */
  std::uint64_t m_startedAtMs = 0;
  /** Rises with each announcement of one start of the worker; zero if the
   * worker does not number them. */
  std::uint64_t m_sequence = 0;
  /** The worker's clock as it sent the announcement; absent if it does not
   * tell. */
  std::optional<WorkerInstant> m_clock = std::nullopt;
};

/** A worker deregistered. Unlike WorkerAnnounced::m_leaving, the event carries
 * no other state of the worker. */
struct WorkerLeft
{
  std::string m_worker;
  std::string m_incarnation;
};

/** How a run ended. */
enum class RunOutcome : std::uint8_t
{
  Completed,
  /** The work ran and reported a failure. */
  Failed,
  /** The connection was refused, so nothing was sent: the work did not run. */
  NeverSent,
  /** The start was sent and got no answer: the work may have run. */
  Lost,
  /** The run was stopped before it was done. */
  Interrupted,
  /** The worker rejected the start, so the work will never run. */
  NotStarted,
};

struct RunFinished
{
  RunId m_run;
  RunOutcome m_outcome = RunOutcome::Lost;
  std::string m_output;
};

/** A leased worker's answer to StartRun. */
enum class StartResult : std::uint8_t
{
  Started,
  /** The worker is healthy but does not accept the run now. */
  Rejected,
  /** The worker is unhealthy and accepts no runs. */
  Unhealthy,
  /** The worker has received a higher fencing token, so this start has no
   * effect. */
  Fenced,
  /** Another incarnation answered, or no process listens at the URL. */
  OtherIncarnation,
  /** The run may have started, or may still start. */
  NoAnswer,
};

struct StartAnswered
{
  RunId m_run;
  StartResult m_result = StartResult::NoAnswer;
  std::string m_detail;
  /** The worker's clock as it answered; absent if it does not tell. */
  std::optional<WorkerInstant> m_clock = std::nullopt;
};

struct StopAnswered
{
  RunId m_run;
  /** Whether the run is known to have ended, or to never start. */
  bool m_confirmed = false;
};

enum class RunEnd : std::uint8_t
{
  Completed,
  Failed,
  /** The run was stopped, or its lease expired. */
  Interrupted,
};

struct EndedRun
{
  /** Increases with each run that ends in one incarnation of the worker. */
  std::uint64_t m_number = 0;
  RunName m_name;
  RunEnd m_end = RunEnd::Interrupted;
};

enum class ObserveResult : std::uint8_t
{
  Observed,
  /** The worker has received a higher fencing token. */
  Fenced,
  /** Another incarnation answered, or no process listens at the URL. */
  OtherIncarnation,
  NoAnswer,
};

/** A worker's answer to ObserveRuns. */
struct RunsObserved
{
  std::string m_worker;
  std::string m_incarnation;
  std::uint64_t m_observationId = 0;
  ObserveResult m_result = ObserveResult::NoAnswer;
  std::vector<RunName> m_running;
  std::vector<EndedRun> m_ended;
  /** As WorkerAnnounced::m_startedAtMs. */
  std::uint64_t m_startedAtMs = 0;
  /** The worker's clock as it answered; present in each
   * ObserveResult::Observed.
   */
  std::optional<WorkerInstant> m_clock = std::nullopt;
};

using AgentEvent = std::variant<MessageReceived,
                                SendFailed,
                                LinkReset,
                                TimerFired,
                                DrainRequested,
                                ConfigChanged,
                                EndpointAnnounced,
                                WorkerAnnounced,
                                WorkerLeft,
                                RunFinished,
                                StartAnswered,
                                StopAnswered,
                                RunsObserved,
                                PeersChanged>;

} // namespace mulberrysail::core
