#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

namespace mulberrysail::core::agent {

/**
 * Workers that hold runs by leases: keeps the leases, and finds out what became
 * of each run. The worker's own list is the evidence. A run is over only if
 * the worker said so, if a list that was asked for later doesn't name it, or if
 * its lease has run out.
 */
class LeasedRuns
{
public:
  explicit LeasedRuns(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** A leased worker has announced the life @p aIncarnation. */
  void SetAnnouncedIncarnation(Worker& aWorker,
                               const std::string& aIncarnation);

  /** Notes that a run was sent to a leased worker. */
  void ExtendLease(Worker& aWorker);

  void Handle(const StartAnswered& aAnswer);
  void Handle(const StopAnswered& aAnswer);
  void Handle(const RunsObserved& aObserved);

  /** Asks for the end of a run. */
  void Stop(Attempt& aAttempt);

  /** Observes, renews and stops what is due. */
  void ProcessDue();

  /** @return when ProcessDue() has something to do. */
  static Instant NextDue(const AgentBoard& aBoard);

private:
  void RecordStartResult(EventCode aCode,
                         const Attempt& aAttempt,
                         const StartAnswered& aAnswer);
  void ProcessWorker(Worker& aWorker);
  /** @return whether a run was stopped since the worker was last asked, so
   * that only a new observation can tell what became of it. */
  bool NeedsNewObservation(const Worker& aWorker);
  void Observe(Worker& aWorker, const std::string& aIncarnation);
  void SetResponsive(Worker& aWorker, bool aResponsive);
  void ProcessEndedRuns(Worker& aWorker, const RunsObserved& aObserved);
  void ProcessActiveRuns(Worker& aWorker, const RunsObserved& aObserved);
  /** Another life answers, or all leases ran out: nothing of it runs. */
  void InterruptRuns(Worker& aWorker);
  void EndIncarnation(Worker& aWorker);
  void Finish(RunId aRun, RunOutcome aOutcome);
  std::vector<Attempt*> RunsOn(const Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
