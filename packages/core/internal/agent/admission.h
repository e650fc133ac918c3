#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Accepts offers into the queues or refuses them. */
class Admission
{
public:
  explicit Admission(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Refuses the whole batch if it is for another agent incarnation. */
  void ProcessOffers(EntryIndex aEntry, OfferBatch aBatch);

private:
  void ProcessOffer(EntryIndex aEntry, Offer aOffer);
  /** Reports the outcome again if the attempt has ended.
   * @return whether the attempt of @p aOffer was received before. */
  bool HandleDuplicate(const AttemptKey& aKey, const Offer& aOffer);
  /** @return the reason to refuse @p aOffer; ErrorKind::None to accept it. */
  ErrorKind CheckOffer(const Offer& aOffer) const;
  ErrorKind CheckRequest(const Offer& aOffer) const;
  ErrorKind CheckTask(const Offer& aOffer) const;
  /** @return whether a worker has free capacity for the task in addition to
   * all queued tasks. */
  bool CanStartAtOnce(const Offer& aOffer) const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
