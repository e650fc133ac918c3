#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

namespace mulberrysail::core::agent {

/**
 * Renews the leases of runs on leased workers and determines the outcome of
 * each run from the worker's own list of runs. A run is over only if the worker
 * reported its end, if a list that was requested later doesn't contain the run,
 * or if its lease has expired.
 */
class LeasedRuns
{
public:
  explicit LeasedRuns(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Records that a leased worker has announced @p aIncarnation. */
  void SetAnnouncedIncarnation(Worker& aWorker,
                               const std::string& aIncarnation);

  /** Extends the time until which runs may be active on @p aWorker; called when
   * a run or a renewal is sent. */
  void ExtendRunsEndBy(Worker& aWorker);

  void Handle(const StartAnswered& aAnswer);
  void Handle(const StopAnswered& aAnswer);
  void Handle(const RunsObserved& aObserved);

  /** Sends a stop unless one was sent within the retry interval. */
  void Stop(Attempt& aAttempt);

  /** Sends the observations, renewals and stops that are due. */
  void ProcessDue();

  /** @return when ProcessDue() must run next. */
  static Instant NextDue(const AgentBoard& aBoard);

private:
  void RecordStartResult(EventCode aCode,
                         const Attempt& aAttempt,
                         const StartAnswered& aAnswer);
  void ProcessWorker(Worker& aWorker);
  /** @return whether the stop of a run was confirmed after the last observation
   * was sent, so that only a new observation can tell how the run ended. */
  bool NeedsNewObservation(const Worker& aWorker);
  /** Requests the list of runs, and renews the leases if all runs on the worker
   * are known to be of this agent incarnation. */
  void Observe(Worker& aWorker, const std::string& aIncarnation);
  void SetResponsive(Worker& aWorker, bool aResponsive);
  void ProcessEndedRuns(Worker& aWorker, const RunsObserved& aObserved);
  void ProcessActiveRuns(Worker& aWorker, const RunsObserved& aObserved);
  /** Ends all runs on the worker as interrupted, because another incarnation
   * answered or all leases have expired. */
  void FinishAsInterrupted(Worker& aWorker);
  /** Ends the tracked incarnation with its runs and switches to the announced
   * incarnation if that is another one. */
  void EndIncarnation(Worker& aWorker);
  void Finish(RunId aRun, RunOutcome aOutcome);
  std::vector<Attempt*> RunsOn(const Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
