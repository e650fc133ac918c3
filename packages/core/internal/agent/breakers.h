#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Keeps work from workers that fail what they start. */
class Breakers
{
public:
  explicit Breakers(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void RecordSuccess(Worker& aWorker);

  /** @param aAttempt what failed or was lost there. */
  void RecordFailure(Worker& aWorker, const Attempt& aAttempt);

  /** Lets the workers be probed whose pause is over. */
  void StartProbes();

private:
  void Open(Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
