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

  /** Requests the worker to stop a task; does nothing for a request. */
  void StopTask(Attempt& aAttempt);

private:
  void RevokeAttempt(const AttemptKey& aKey, bool aStopRunning);
  /** Reports an attempt that isn't open, and ensures that it is never opened.
   */
  void ReportNotOpen(const AttemptKey& aKey, AttemptFate aFateIfNeverStarted);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
