#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Maintains the agent's copy of the list of drained zones. */
class ZoneDrainCopy
{
public:
  explicit ZoneDrainCopy(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Replaces the agent's copy by that of @p aEntry if the entry's is newer. If
   * it is older and names other zones, schedules an Announce to the entry. */
  void Update(EntryIndex aEntry, const ZoneDrains& aDrains);

private:
  void Adopt(const ZoneDrains& aDrains);
  void RecordChange();

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
