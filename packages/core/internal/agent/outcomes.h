#pragma once

#include "core/internal/agent/board.h"
#include "core/internal/agent/keyregistry.h"
#include "core/internal/agent/queues.h"
#include "core/internal/agent/reportcache.h"

namespace mulberrysail::core::agent {

/** Ends attempts and has their reports sent. */
class Outcomes
{
public:
  explicit Outcomes(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Ends a waiting attempt without a start; it is gone afterwards. */
  void EndQueued(Attempt& aAttempt, AttemptFate aFate, ErrorKind aKind);

  /** Ends a running attempt; it is gone afterwards. */
  void EndRun(Attempt& aAttempt,
              AttemptFate aFate,
              ErrorKind aKind,
              std::string aOutput);

  /** Refuses an offer that was not taken in. */
  void RefuseOffer(const AttemptKey& aKey,
                   const Offer& aOffer,
                   ErrorKind aKind);

  /** Refuses for good an attempt of which only the id is known. */
  void RefuseUnseen(const AttemptKey& aKey, AttemptFate aFate);

  /** Has a report sent with the next batch. */
  void QueueReport(EntryIndex aEntry, AttemptReport aReport);

private:
  void CloseAttempt(Attempt& aAttempt, AttemptReport aReport, bool aStarted);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
