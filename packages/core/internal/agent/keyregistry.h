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

  /** Records the outcome of a holder and replies to the pending fence queries.
   * If the attempt never ran, releases the key instead, and the pending queries
   * fence it. */
  void RecordOutcome(const Attempt& aAttempt, const AttemptReport& aReport);

  /** Replies to @p aQuery; fences the key if no attempt holds it. */
  void AnswerFenceQuery(EntryIndex aEntry, const FenceQuery& aQuery);

  /** Evicts the records whose retention period is over. */
  void EvictExpired();

private:
  /** @return the record whose holder is @p aAttempt, or null. */
  KeyRecord* FindHeldBy(const Attempt& aAttempt);
  /** Fences the key for the caller key of @p aPendingQuery, unless that caller
   * key yields to an earlier fence or the memory limit is exceeded, and
   * replies.
   */
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
  /** @return how far back from now every ended holder is still recorded, at
   * most the configured retention. */
  Duration RetentionPeriod() const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
