#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Judges submissions with a caller key: what is fenced, what is held. */
class KeyKeeper
{
public:
  explicit KeyKeeper(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** @return whether an offer with this key must be refused. */
  bool Superseded(const Offer& aOffer) const;

  /** Notes that an attempt with a key was taken in. */
  void Claim(const Attempt& aAttempt);

  /** Notes that an attempt was started, or put back into the queue. */
  void Moved(const Attempt& aAttempt);

  /** Notes how an attempt ended and tells those who asked. */
  void Ended(const Attempt& aAttempt, const AttemptReport& aReport);

  /** Answers the question of an entry. */
  void Ask(EntryIndex aEntry, const FenceQuery& aQuery);

  /** Forgets what is too old. */
  void Purge();

private:
  KeyRecord* FindHeldBy(const Attempt& aAttempt);
  void Fence(const KeyName& aName,
             KeyRecord& aRecord,
             const FenceAsker& aAsker);
  void Reply(const FenceAsker& aAsker,
             AttemptFate aFate,
             ErrorKind aKind,
             std::string aOutput);
  void Resize(const KeyName& aName, KeyRecord& aRecord);
  void Unlist(KeyRecord& aRecord);
  void List(const KeyName& aName, KeyRecord& aRecord);
  void EnforceLimit();
  Duration RemembersFor() const;

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
