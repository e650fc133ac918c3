#pragma once

#include "core/internal/entry/entryboard.h"

#include <span>

namespace mulberrysail::core {

/** Handles crashes of workers that agents announce: counts the lost runs of
 * each task, and decides which queues are isolated. */
class CrashController
{
public:
  explicit CrashController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Handles the crashes that @p aAgent announces.
   * @return whether the isolation of a queue has changed, so that agents and
   * waiting tasks must be assigned to their pools again. */
  bool OnCrashes(EntryEventContext& aContext,
                 AgentRecord& aAgent,
                 std::span<const WorkerCrash> aCrashes);

  /** Releases queues whose tasks have crashed no worker for a while.
   * @return as OnCrashes(). */
  bool OnTimer(EntryEventContext& aContext);

  /** Chooses the agents for isolated tasks, see AgentRecord::m_takesIsolated.
   */
  void SelectAgents();

  /** Moves waiting tasks to the pool in which they belong. */
  void MoveWaitingTasks();

private:
  void Add(EntryEventContext& aContext, const WorkerCrash& aCrash);
  bool Update(EntryEventContext& aContext);
  /** @return the queues to which jobs were submitted lately. */
  std::vector<std::string> ActiveQueues(Instant aNow) const;

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
