#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Checks offers and either queues or refuses them. */
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
  void ProcessOffer(EntryIndex aEntry,
                    Offer aOffer,
                    std::optional<Instant> aLeaseGrantedAt);
  /** Handles an offer whose attempt is open, has ended, or may have ended with
   * an evicted report: ignores the offer, repeats the outcome, or refuses the
   * offer or reports the run as lost.
   * @return whether @p aOffer needs no further processing. */
  bool HandleDuplicate(const AttemptKey& aKey, const Offer& aOffer);
  /** @return the reason to refuse @p aOffer; ErrorKind::None to accept it. */
  ErrorKind CheckOffer(const EntryRecord& aEntry, const Offer& aOffer) const;
  ErrorKind CheckRequest(const Offer& aOffer) const;
  ErrorKind CheckTask(const EntryRecord& aEntry, const Offer& aOffer) const;
  /** @return whether a worker has free capacity for the task in addition to
   * all queued tasks, without the capacity granted to other entries. */
  bool CanStartAtOnce(const EntryRecord& aEntry, const Offer& aOffer) const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
