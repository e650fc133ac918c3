#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Takes offers in, or refuses them. */
class Admission
{
public:
  explicit Admission(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void ProcessOffers(EntryIndex aEntry, OfferBatch aBatch);

private:
  void ProcessOffer(EntryIndex aEntry, Offer aOffer);
  /** @return whether the attempt is known, and was answered if it is over. */
  bool IsDuplicate(const AttemptKey& aKey, const Offer& aOffer);
  ErrorKind CheckOffer(const Offer& aOffer) const;
  ErrorKind CheckRequest(const Offer& aOffer) const;
  ErrorKind CheckTask(const Offer& aOffer) const;
  /** @return whether a worker has room for a task beside all that waits. */
  bool CanStartAtOnce(const Offer& aOffer) const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
