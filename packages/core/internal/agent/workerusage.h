#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <span>

namespace mulberrysail::core::agent {

/** Learns the resource usage of tasks and computes reservations on workers. */
class WorkerUsage
{
public:
  explicit WorkerUsage(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Raises the reservations of runs to the reported usage and sums up the
   * usage of foreign runs. Reports may be out of date. */
  void ApplyUsage(Worker& aWorker, std::span<const TaskUsage> aUsage);

  /** Updates the factors of the service from a completed task. */
  void Learn(const Attempt& aAttempt);

  /** @return the capacity to reserve on @p aWorker for a task. */
  Resources ReservationFor(const Offer& aOffer, const Worker& aWorker) const;

private:
  AgentBoard& m_board;
};

/** @return the free capacity of @p aWorker within its breaker's limit. */
Resources
FreeCapacity(const AgentBoard& aBoard, const Worker& aWorker);

void
AddResources(Resources& aSum, const Resources& aPart);

void
SubtractResources(Resources& aSum, const Resources& aPart);

} // namespace mulberrysail::core::agent
