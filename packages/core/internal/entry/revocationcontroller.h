#pragma once

#include "core/internal/entry/entryboard.h"

#include <vector>

namespace mulberrysail::core {

/** Revokes attempts at agents, and repeats each revocation until the agent has
 * reported the end of the attempt, or the lease of its runs has ended. A
 * message may be lost with its link. */
class RevocationController
{
public:
  explicit RevocationController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Revokes the open attempts of @p aSubmission. */
  void Revoke(EntryEventContext& aContext, const Submission& aSubmission);

  /** Repeats the revocations at @p aAgent after its link was opened again. */
  void OnLinkReset(EntryEventContext& aContext, const ProcessId& aAgent);

  /** Repeats unconfirmed revocations.
   * @return whether tasks that waited for the end of runs may start now. */
  bool OnTimer(EntryEventContext& aContext);

private:
  void ArmTimer(const EntryEventContext& aContext);
  /** @return the agents with revoked attempts, first those that the longest
   * have received no repeated revocation. */
  std::vector<ProcessId> AgentsInTurn() const;
  /** Repeats the revocations that were sent last at or before @p aSentUntil.
   * @return whether there were any. */
  bool Repeat(EntryEventContext& aContext,
              const ProcessId& aAgent,
              Instant aSentUntil);
  /** @return whether all runs at @p aAgent have ended, whatever the agent has
   * received. */
  bool HaveAllRunsEnded(const EntryEventContext& aContext,
                        const ProcessId& aAgent) const;

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
