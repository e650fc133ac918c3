#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <set>
#include <string_view>

namespace mulberrysail::core::agent {

/** Minimum time before an unanswered observation or an unconfirmed stop command
 * is sent again. */
inline constexpr Duration kRetryInterval = std::chrono::milliseconds(50);

/** @return how to address a task run of @p aIncarnation of the worker. */
RunTarget
TargetOf(const Worker& aWorker, const std::string& aIncarnation);

/** @return whether the state of the runs on the worker is known well enough to
 * start another one there. Always true for a worker without run leases. */
bool
CanStartRuns(const AgentBoard& aBoard, const Worker& aWorker);

/**
 * Renews run leases and determines the outcome of each run from observations,
 * in which the worker lists its runs. A run ends only if the worker rejected
 * its start or reported its end, if an observation sent after the worker
 * confirmed its start or stop doesn't list it, if the worker's incarnation has
 * ended, or if the run lease has expired.
 */
class LeasedRuns
{
public:
  explicit LeasedRuns(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Records which start of a worker with run leases has announced itself, and
   * its clock. */
  void RecordAnnouncement(Worker& aWorker, const WorkerAnnounced& aAnnounced);

  /** Begins a run lease, for a start or for the renewal of all runs on the
   * worker, and moves LeasedRunState::m_runsEndBy forward.
   * @return when the lease ends; absent, and nothing changes, if the worker has
   * no run leases or its clock is unknown. */
  std::optional<WorkerInstant> GrantLease(Worker& aWorker);

  void Handle(const StartAnswered& aAnswer);
  void Handle(const StopAnswered& aAnswer);
  void Handle(const RunsObserved& aObserved);

  /** Sends a StopRun command unless one was sent within the retry interval. */
  void Stop(Attempt& aAttempt);

  /** Raises the fencing tokens of workers whose run leases have expired, also
   * if this agent stood still meanwhile. To be called before an event is
   * handled. */
  void FenceExpiredLeases();

  /** Ends the runs of unresponsive workers whose run leases have expired, and
   * sends the observations, renewals and stop commands that are due. */
  void ProcessDue();

  /** @return when ProcessDue() must run next. */
  static Instant NextDue(const AgentBoard& aBoard);

private:
  void RecordStartResult(EventCode aCode,
                         const Attempt& aAttempt,
                         const StartAnswered& aAnswer);
  void ProcessWorker(Worker& aWorker);
  /** Ends the runs of a worker whose run leases have expired. */
  void FinishLapsed(Worker& aWorker);
  /** Sends the stop commands for LeasedRunState::m_unclearRuns that are due. */
  void StopUnclearRuns(Worker& aWorker);
  /** @return whether the runs on the worker have to be known anew. */
  bool MustObserve(const Worker& aWorker);
  /** @return whether a stop was confirmed or the fencing token raised after the
   * last observation was sent, so that its answer proves nothing. */
  bool NeedsNewObservation(const Worker& aWorker);
  /** @return whether to send an observation although others are pending. */
  bool MustObserveAgain(const Worker& aWorker);
  /** @return how long the worker may delay its answer to an observation. */
  Duration MaxWait(const Worker& aWorker);
  /** Sends an observation, and renews the run leases if all runs on the worker
   * are known to be of this agent incarnation. */
  void Observe(Worker& aWorker, const std::string& aIncarnation);
  /** @param aCause why the worker isn't responsive, for the log. */
  void SetResponsive(Worker& aWorker,
                     bool aResponsive,
                     std::string_view aCause = "silent");
  /** Notes that the worker has answered a call, whatever the answer. */
  void RecordAnswer(Worker& aWorker);
  /** Records the worker's clock in an announcement of its tracked start. */
  void RecordAnnouncedClock(Worker& aWorker, WorkerInstant aReading);
  /** Records the worker's clock in the answer to a call that was sent at
   * @p aSentAt. If it doesn't fit the estimate by which leases were granted,
   * the worker may have granted its longest lease.
   * @return whether it fits. */
  bool RecordAnsweredClock(Worker& aWorker,
                           WorkerInstant aReading,
                           Instant aSentAt);
  /** Lets the worker's announcement lapse AgentPolicy::m_workerLease after it
   * was sent, as far as the worker's clock shows it. */
  void ShortenAnnouncementLease(Worker& aWorker);
  /** Logs that the clock of the worker has become doubtful. */
  void RecordDoubt(const Worker& aWorker,
                   bool aWasDoubtful,
                   std::optional<WorkerInstant> aExpected,
                   WorkerInstant aReading);
  /** Records the worker's clock in the answer to the start of the attempt, and
   * confirms its lease if the clock fits. The clock of an answer that may be
   * from an earlier start of the worker tells nothing. */
  void RecordClockOfStart(Worker& aWorker,
                          Attempt& aAttempt,
                          std::optional<WorkerInstant> aClock);
  void RecordUnansweredStart(Worker& aWorker);
  void HandleUnansweredStart(Worker& aWorker, Attempt& aAttempt);
  /** @return whether the start may be sent to the worker once more. */
  bool CanStartAgain(const Worker& aWorker, const Attempt& aAttempt);
  void ProcessEndedRuns(Worker& aWorker, const RunsObserved& aObserved);
  void ProcessActiveRuns(Worker& aWorker, const RunsObserved& aObserved);
  /** Records the accepted runs that @p aRunning lacks as lost in a crash. */
  void RecordRestart(const Worker& aWorker, const std::set<RunName>& aRunning);
  /** Ends all attempts running on the worker with RunOutcome::Interrupted, and
   * records them as lost in a crash unless the worker is leaving.
   * @param aCause how the loss was detected, for the log.
   * @param aIsConfirmed see WorkerCrash. */
  void FinishAsCrashed(Worker& aWorker,
                       std::string_view aCause,
                       bool aIsConfirmed);
  /** Ends the runs of the tracked incarnation, then tracks the announced
   * incarnation if it differs; otherwise marks the worker as leaving. */
  void EndIncarnation(Worker& aWorker);
  void Finish(RunId aRun, RunOutcome aOutcome);
  std::vector<Attempt*> RunsOn(const Worker& aWorker);
  /** @return the time by which all runs on the worker have ended if their
   * leases are not renewed. */
  static Instant RunsEndBy(const AgentBoard& aBoard, const Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
