#pragma once

#include "core/internal/agent/runleasebound.h"
#include "core/types/commands.h"
#include "core/types/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mulberrysail::core::agent {

/** State of a worker's circuit breaker. */
enum class BreakerState : std::uint8_t
{
  Closed,
  /** No tasks until the pause is over. */
  Open,
  /** One task at a time until a task succeeds. */
  Probing,
  /** Part of the capacity; each success doubles the part. */
  Restoring,
  /** All of the capacity although runs fail, as they do on most workers. */
  Tolerated,
};

/** Circuit breaker of one worker. */
struct Breaker
{
  BreakerState m_state = BreakerState::Closed;
  /** Consecutive failures. */
  std::uint32_t m_failures = 0;
  /** Consecutive starts without an answer. */
  std::uint32_t m_unansweredStarts = 0;
  /** Whether unanswered starts, and not failures, opened the breaker. */
  bool m_openForStarts = false;
  /** Entry and job of the first consecutive failure. */
  std::pair<std::uint32_t, SubmissionId> m_firstJob;
  /** Whether the consecutive failures are of more than one job. */
  bool m_severalJobs = false;
  Duration m_pause{};
  Instant m_openUntil;
  /** Usable share of the capacity, in percent. */
  std::uint32_t m_capacityPercent = 100;
  /** Consecutive successes in the state Tolerated. */
  std::uint32_t m_successes = 0;
};

/** One start of a worker. A worker may start again as the same incarnation. It
 * then has none of its earlier runs, and may have other labels and another
 * capacity. */
struct WorkerStart
{
  std::string m_incarnation;
  /** See WorkerAnnounced::m_startedAtMs. */
  std::uint64_t m_startedAtMs = 0;

  bool operator==(const WorkerStart&) const = default;
};

/** A run that ended by the expiry of its lease before the worker confirmed its
 * start or its stop, so that its start may still be carried out. */
struct UnclearRun
{
  RunName m_name;
  std::optional<Instant> m_stopSentAt;
};

/** An observation without an answer so far. */
struct PendingObservation
{
  std::uint64_t m_id = 0;
  Instant m_sentAt;
  /** Another observation is sent if this one is unanswered by then. */
  Instant m_answerDueAt;
  /** See ObserveRuns. */
  std::uint64_t m_acknowledgedRun = 0;
  /** See RunTarget. */
  std::uint64_t m_fencingToken = 0;
};

/** State of the runs on a worker with run leases. */
struct LeasedRunState
{
  /** The start of the worker whose runs are tracked. */
  WorkerStart m_tracked;
  /** The incarnation in the last announcement; may be an earlier one. */
  std::string m_announcedIncarnation;
  /** Set when the worker has started again as the same incarnation, until an
   * observation has shown which runs it lost. */
  bool m_hasRestarted = false;
  /** When the worker was last found to have started again as the same
   * incarnation. Calls that were sent before may have reached the earlier
   * start. */
  Instant m_restartKnownAt;
  /** Set after the first observation; until then, runs that an earlier
   * incarnation of the agent has started may be active. */
  bool m_observed = false;
  /** Whether the last observation listed runs that this incarnation of the
   * agent did not start. */
  bool m_hasForeignRuns = false;
  /** In the order in which they were sent. An answer removes those before it,
   * as their answers would be older. */
  std::deque<PendingObservation> m_pending;
  /** When the latest observation was sent. */
  Instant m_lastSentAt;
  /** When the latest observation that was answered was sent. */
  Instant m_observationSentAt;
  /** When a call to the worker last got no answer in time. */
  std::optional<Instant> m_lastLossAt;
  /** When the worker last answered a start, a stop or an observation. */
  Instant m_lastAnswerAt;
  /** Starts that got no answer since the worker last answered any call. */
  std::uint32_t m_unansweredStarts = 0;
  /** Whether the worker answers calls; only an observation shows that it does
   * so again. */
  bool m_responsive = false;
  /** Earliest time of the next observation after all were unanswered. */
  Instant m_nextObservation;
  /** Highest number of a processed end of a run. */
  std::uint64_t m_lastEnd = 0;
  /** Highest number of an end that was acknowledged to the worker. */
  std::uint64_t m_acknowledgedRun = 0;
  /** Highest token of an observation that the worker has answered. */
  std::uint64_t m_confirmedToken = 0;
  /** By how much the token was last raised as the worker had rejected it; zero
   * since it accepted one. */
  std::uint64_t m_fencingStep = 0;
  /** Time by which all runs with Attempt::m_leaseConfirmed have ended if their
   * leases are not renewed. */
  Instant m_runsEndBy;
  /** As m_runsEndBy, for all runs on the worker. */
  Instant m_unconfirmedRunsEndBy;
  /** The clock of the tracked start of the worker. */
  WorkerClockEstimate m_clock;
  /** The worker has to confirm the stop of each before it gets a lease. */
  std::map<RunId, UnclearRun> m_unclearRuns;
};

/** The order of a worker's announcements. It is kept for longer than the
 * Worker, so that a delayed announcement brings no earlier state back. */
struct AnnouncementRecord
{
  /** The start of the worker that sent the latest announcement, and the number
   * of that announcement. */
  WorkerStart m_start;
  std::uint64_t m_sequence = 0;
  /** Whether that start has announced that it leaves. It never takes work
   * again, whatever its announcements say. */
  bool m_isLeaving = false;
  /** Whether that start tells its clock. */
  bool m_tellsClock = false;
  /** The most of each resource that it has announced. WorkerInfo::m_capacity
   * may be lower for a while. */
  Resources m_largestCapacity;
  /** The starts of incarnations that are known to have ended, the latest last.
   * Their announcements may still arrive. */
  std::deque<WorkerStart> m_ended;
  /** When the latest announcement arrived. */
  Instant m_receivedAt;
};

/** A worker managed by this agent. */
struct Worker
{
  WorkerInfo m_info;
  std::string m_url;
  /** The start of the worker that m_info describes. */
  WorkerStart m_announcedBy;
  /** The clock of that start as it sent the announcement; absent if it does not
   * tell. */
  std::optional<WorkerInstant> m_announcedClock;
  /** When the announcement lapses. Counts from its sending as far as the
   * worker's clock shows it, otherwise from its receipt. */
  Instant m_leaseEnds;
  /** When the worker stops being slow after its start, while
   * WorkerInfo::m_warmingUp is set. */
  Instant m_warmUpEnds;
  bool m_leaving = false;
  /** Set after a refused connection; cleared by the next announcement. */
  bool m_unreachable = false;
  /** Capacity reserved for the running tasks of this agent. */
  Resources m_reserved;
  /** Reported usage of runs that this incarnation of the agent did not start.
   */
  Resources m_foreignUsage;
  std::uint32_t m_runningTasks = 0;
  Breaker m_breaker;
  /** See RunTarget. */
  std::uint64_t m_fencingToken = 0;
  /** When the token was last raised. */
  Instant m_fencingRaisedAt;
  /** Present if the worker runs tasks under run leases. */
  std::optional<LeasedRunState> m_leasedRuns;
};

struct WorkerSection
{
  /** Until then, workers are used although their runs fail; see
   * EntryHello::m_useFailingWorkersFor. */
  Instant m_useFailingUntil;
  std::map<std::string, Worker, std::less<>> m_workers;
  /** By the worker's name, for each of m_workers and for some that have
   * expired. */
  std::map<std::string, AnnouncementRecord, std::less<>> m_announcements;
  /** Set when queued tasks may have to be refused because a worker changed,
   * expired or was quarantined, the agent is draining, or its zone was drained.
   */
  bool m_recheckQueuedTasks = false;
  std::uint64_t m_nextTicket = 1;
  /** The highest fencing token of all workers, also of those that were removed.
   * Starts with the agent's incarnation. */
  std::uint64_t m_lastFencingToken = 0;
  /** Moving average of the cores that offered tasks need, in thousandths. */
  std::uint32_t m_meanNeedMilliCores = 0;
  /** Moving average of the memory that offered tasks need. */
  std::uint32_t m_meanNeedMemoryMb = 0;
};

} // namespace mulberrysail::core::agent
