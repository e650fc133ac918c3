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
  void ReleaseReservation(Attempt& aAttempt, RunOutcome aOutcome);
  void Requeue(Attempt& aAttempt);
  /** Queues a task again whose run could not be sent, or refuses the attempt.
   */
  void RetryOrRefuse(Attempt& aAttempt);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
