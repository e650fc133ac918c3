#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Judges submissions with a caller key: what is fenced, what is held. */
class KeyRegistry
{
public:
  explicit KeyRegistry(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** @return whether an offer with this key must be refused. */
  bool IsSuperseded(const Offer& aOffer) const;

  /** Notes that an attempt with a key was taken in. */
  void Claim(const Attempt& aAttempt);

  /** Notes that an attempt was started, or put back into the queue. */
  void UpdateFate(const Attempt& aAttempt);

  /** Notes how an attempt ended and tells those who asked. */
  void RecordOutcome(const Attempt& aAttempt, const AttemptReport& aReport);

  /** Answers the question of an entry. */
  void AnswerFenceQuery(EntryIndex aEntry, const FenceQuery& aQuery);

  /** Forgets what is too old. */
  void EvictExpired();

private:
  KeyRecord* FindHeldBy(const Attempt& aAttempt);
  void Fence(const KeyName& aName,
             KeyRecord& aRecord,
             const FenceRequester& aRequester);
  void Reply(const FenceRequester& aRequester,
             AttemptFate aFate,
             ErrorKind aKind,
             std::string aOutput);
  void UpdateSize(const KeyName& aName, KeyRecord& aRecord);
  void RemoveFromIndexes(KeyRecord& aRecord);
  void AddToIndexes(const KeyName& aName, KeyRecord& aRecord);
  void EnforceLimit();
  Duration RetentionPeriod() const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
