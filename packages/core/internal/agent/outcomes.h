#pragma once

#include "core/internal/agent/board.h"
#include "core/internal/agent/keyregistry.h"
#include "core/internal/agent/queues.h"
#include "core/internal/agent/reportcache.h"

namespace mulberrysail::core::agent {

/** Ends attempts and queues their reports. */
class Outcomes
{
public:
  explicit Outcomes(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Ends a queued attempt that was not started; destroys @p aAttempt. */
  void EndQueued(Attempt& aAttempt, AttemptFate aFate, ErrorKind aKind);

  /** Ends a running attempt; destroys @p aAttempt. */
  void EndRun(Attempt& aAttempt,
              AttemptFate aFate,
              ErrorKind aKind,
              std::string aOutput);

  /** Refuses an offer that was not accepted. */
  void RefuseOffer(const AttemptKey& aKey,
                   const Offer& aOffer,
                   ErrorKind aKind);

  /** Reports @p aFate (Refused or Revoked) for an attempt that was never
   * started and of which only the id is known, and caches the report so that a
   * later offer is not accepted. */
  void ReportNeverStarted(const AttemptKey& aKey, AttemptFate aFate);

  /** Adds a report to the next batch for @p aEntry. */
  void QueueReport(EntryIndex aEntry, AttemptReport aReport);

private:
  /** Removes @p aAttempt, caches its report and queues it for the entry. */
  void CloseAttempt(Attempt& aAttempt, AttemptReport aReport, bool aStarted);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
