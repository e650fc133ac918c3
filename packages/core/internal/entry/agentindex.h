#pragma once

#include "core/internal/entry/configcontroller.h"
#include "core/internal/entry/crashcontroller.h"
#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/** Derives, from the announcements of all agents, which of them serve a service
 * or run tasks, and with how much capacity. */
class AgentIndex
{
public:
  AgentIndex(EntryBoard& aBoard,
             ConfigController& aConfigs,
             CrashController& aCrashes)
    : m_board(aBoard)
    , m_configs(aConfigs)
    , m_crashes(aCrashes)
  {
  }

  /** Recomputes the agents and the capacity of each service and pool. */
  void Rebuild();

private:
  void AddToTaskPools(AgentRecord& aAgent);

  EntryBoard& m_board;
  ConfigController& m_configs;
  CrashController& m_crashes;
};

} // namespace mulberrysail::core
