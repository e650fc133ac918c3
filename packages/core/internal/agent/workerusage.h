#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <span>

namespace mulberrysail::core::agent {

/** Learns what tasks take, and what room that leaves on the workers. */
class WorkerUsage
{
public:
  explicit WorkerUsage(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Takes what a worker reports; it lags behind. */
  void Update(Worker& aWorker, std::span<const TaskUsage> aUsage);

  /** Learns from a task that ran to its end. */
  void Learn(const Attempt& aAttempt);

  /** @return what to set aside on @p aWorker for a task. */
  Resources ReservationFor(const Offer& aOffer, const Worker& aWorker) const;

private:
  AgentBoard& m_board;
};

/** @return what is left on @p aWorker within its breaker's limit. */
Resources
FreeCapacity(const AgentBoard& aBoard, const Worker& aWorker);

void
AddResources(Resources& aSum, const Resources& aPart);

void
SubtractResources(Resources& aSum, const Resources& aPart);

} // namespace mulberrysail::core::agent
