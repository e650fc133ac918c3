#pragma once

#include "core/internal/agent/board.h"

#include <optional>

namespace mulberrysail::core::agent {

/** Revokes attempts and reports their fates. */
class Reconciler
{
public:
  explicit Reconciler(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void Revoke(EntryIndex aEntry, const RevokeBatch& aBatch);
  /** Queues a report for each attempt of @p aReconcile. */
  void ReportAttempts(EntryIndex aEntry, const Reconcile& aReconcile);

  /** Sends the worker a StopRun command; does nothing for an attempt of
   * WorkKind::Request. */
  void StopTask(Attempt& aAttempt);

private:
  void RevokeAttempt(const AttemptKey& aKey, bool aStopRunning);
  /** Queues the report of an attempt that isn't open: the cached report; Lost
   * if the attempt may have started; otherwise @p aFateIfNeverStarted, which is
   * cached so that a later offer is not accepted. */
  void ReportNotOpen(const AttemptKey& aKey, AttemptFate aFateIfNeverStarted);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
