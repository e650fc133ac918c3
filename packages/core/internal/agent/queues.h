#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Adds attempts to the queues and removes them. */
class Queues
{
public:
  explicit Queues(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void Add(Attempt& aAttempt);
  void Remove(Attempt& aAttempt);

  /** @return the queued attempt that expires first, or null if none expires by
   * @p aUpTo. */
  Attempt* FirstExpired(Instant aUpTo) const;

  /** @return the queued request that expires first, or null if none expires
   * soon enough to be urgent. */
  const Attempt* FirstUrgentRequest() const;

private:
  void AddRequest(Attempt& aAttempt);
  void RemoveRequest(Attempt& aAttempt);
  void AddTask(Attempt& aAttempt);
  void RemoveTask(Attempt& aAttempt);
  void Reorder(const JobKey& aKey, JobQueue& aJob);

  AgentBoard& m_board;
};

/** @return the expected run time multiplied by the declared cores. */
Duration
CoreTime(const Offer& aOffer);

/** @return the last time at which @p aOffer may be started. */
Instant
ExpiryOf(const Offer& aOffer);

} // namespace mulberrysail::core::agent
