#pragma once

#include "core/internal/agent/board.h"

#include <optional>

namespace mulberrysail::core::agent {

/** Takes attempts back, and tells what became of them. */
class Reconciler
{
public:
  explicit Reconciler(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void Revoke(EntryIndex aEntry, const RevokeBatch& aBatch);
  void ReportAttempts(EntryIndex aEntry, const Reconcile& aReconcile);

  /** Asks the worker to stop a task; does nothing to a request. */
  void StopTask(Attempt& aAttempt);

private:
  void RevokeAttempt(const AttemptKey& aKey, bool aStopRunning);
  /** Reports an attempt that isn't open, and makes sure it never will be. */
  void Close(const AttemptKey& aKey, AttemptFate aFateIfUnseen);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
