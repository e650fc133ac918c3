#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Puts attempts into the queues and takes them out. */
class Queues
{
public:
  explicit Queues(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void Add(Attempt& aAttempt);
  void Remove(Attempt& aAttempt);

  /** @return the waiting attempt that expires first, if it does by
   * @p aUpTo. */
  Attempt* FirstExpired(Instant aUpTo) const;

  /** @return the queued request that must start soonest, if that is soon. */
  const Attempt* FirstUrgentRequest() const;

private:
  void AddRequest(Attempt& aAttempt);
  void RemoveRequest(Attempt& aAttempt);
  void AddTask(Attempt& aAttempt);
  void RemoveTask(Attempt& aAttempt);
  void Reorder(const JobKey& aKey, JobQueue& aJob);

  AgentBoard& m_board;
};

/** @return expected run time times cores. */
Duration
CoreTime(const Offer& aOffer);

/** @return when @p aOffer may not be started any more. */
Instant
ExpiryOf(const Offer& aOffer);

} // namespace mulberrysail::core::agent
