#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Tracks which caller keys are fenced and which attempts hold them. */
class KeyRegistry
{
public:
  explicit KeyRegistry(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** @return whether @p aOffer must be refused because its key is held or
   * fenced. */
  bool IsSuperseded(const Offer& aOffer) const;

  /** Makes @p aAttempt, which was accepted, the holder of its key. */
  void Claim(const Attempt& aAttempt);

  /** Updates the fate of a holder that was started or queued again. */
  void UpdateFate(const Attempt& aAttempt);

  /** Records how a holder ended and replies to the waiting entries. */
  void RecordOutcome(const Attempt& aAttempt, const AttemptReport& aReport);

  /** Replies to @p aQuery; fences the key if no attempt holds it. */
  void AnswerFenceQuery(EntryIndex aEntry, const FenceQuery& aQuery);

  /** Evicts the records whose retention period is over. */
  void EvictExpired();

private:
  /** @return the record whose holder is @p aAttempt, or null. */
  KeyRecord* FindHeldBy(const Attempt& aAttempt);
  /** Fences the key for the claim of @p aPendingQuery, unless the claim yields
   * to an earlier fence or memory is exhausted, and replies. */
  void Fence(const KeyName& aName,
             KeyRecord& aRecord,
             const PendingFenceQuery& aPendingQuery);
  void Reply(const PendingFenceQuery& aPendingQuery,
             AttemptFate aFate,
             ErrorKind aKind,
             std::string aOutput);
  /** Recomputes the memory accounted to @p aRecord. */
  void UpdateSize(const KeyName& aName, KeyRecord& aRecord);
  void RemoveFromIndexes(KeyRecord& aRecord);
  void AddToIndexes(const KeyName& aName, KeyRecord& aRecord);
  void EnforceLimit();
  /** @return the period for which no record has been evicted early, up to the
   * configured retention. */
  Duration RetentionPeriod() const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
