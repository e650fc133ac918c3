#pragma once

#include "core/internal/entry/entryboard.h"

#include <string>
#include <vector>

namespace mulberrysail::core {

/**
 * Applies lists of drained zones and sends them to the agents.
 *
 * A list comes from the store, an agent or another entry; the one with the
 * highest revision applies. Only the first shard of an entry sends it on.
 */
class ZoneDrainController
{
public:
  explicit ZoneDrainController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Puts @p aDrains in force if it is newer than the previous list, and sends
   * it to the agents if it names a zone or differs.
   * @return whether the zones differ, so that the placement of work and the
   * other entries have to be updated. */
  bool Apply(EntryEventContext& aContext, const ZoneDrains& aDrains);

  /** Sends a hello if the agent's list of zones differs from this entry's, at
   * most once a second. */
  void OnAgentDigest(EntryEventContext& aContext, AgentRecord& aAgent);

  /** Records an event for each of @p aZones in which no agent is known. */
  void OnZonesTimer(EntryEventContext& aContext,
                    const std::vector<std::string>& aZones) const;

private:
  /** Records the change, and schedules the check for zones without agents. */
  void RecordChange(EntryEventContext& aContext, const ZoneDrains& aBefore);
  void SendToAgents(EntryEventContext& aContext);
  void SendHello(EntryEventContext& aContext, AgentRecord& aAgent);
  bool HasAgentIn(const std::string& aZone) const;

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
