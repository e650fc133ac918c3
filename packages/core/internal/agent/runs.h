#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

namespace mulberrysail::core::agent {

/** Processes the outcomes of runs. */
class Runs
{
public:
  explicit Runs(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void Finish(RunFinished aFinished);

private:
  void ReleaseSlot();
  /** Frees the reservation of the run and applies the outcome to the worker's
   * breaker, its reachability and the learned usage. */
  void ReleaseReservation(Attempt& aAttempt, RunOutcome aOutcome);
  void Requeue(Attempt& aAttempt);
  /** Queues the task of an unsent run again if it may still be started on
   * another worker; otherwise refuses the attempt. */
  void RetryOrRefuse(Attempt& aAttempt);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
