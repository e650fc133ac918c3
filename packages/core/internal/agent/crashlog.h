#pragma once

#include "core/internal/agent/board.h"

#include <span>
#include <string_view>
#include <vector>

namespace mulberrysail::core::agent {

/** Records which runs were lost together with their worker. */
class CrashLog
{
public:
  explicit CrashLog(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /**
   * Records the loss of all runs of @p aWorker.
   * @param aRuns the runs that are lost; nothing is recorded if there are none.
   * @param aCause how the loss was detected, for the log.
   * @param aIsConfirmed see WorkerCrash.
   */
  void Record(const Worker& aWorker,
              std::span<Attempt* const> aRuns,
              std::string_view aCause,
              bool aIsConfirmed);

  /** Confirms the last crash of @p aWorker, which has started again. */
  void Confirm(const Worker& aWorker);

  /** @return the crashes that were not sent to @p aEntry yet, which count as
   * sent from now on. */
  std::vector<WorkerCrash> TakeUnsent(EntryRecord& aEntry) const;

private:
  void Evict();

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
