#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Circuit breakers: stop sending tasks to workers whose runs fail. */
class Breakers
{
public:
  explicit Breakers(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void RecordSuccess(Worker& aWorker);

  /** @param aAttempt the attempt that failed or was lost on @p aWorker. */
  void RecordFailureAndCheckRetry(Worker& aWorker, const Attempt& aAttempt);

  /** Changes workers whose pause is over from Open to Probing. */
  void EnterProbing();

private:
  void Open(Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
