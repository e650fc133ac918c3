#pragma once

#include "core/internal/entry/entryboard.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/**
 * Applies configurations and exchanges them with agents and other entries.
 *
 * Every entry reads the configuration from the store. Copies for entries that
 * cannot reach the store are kept by a few agents only: the document may be
 * large, and a copy for each agent would delay offers on slow links. Agents and
 * entries learn of a version by its number and request the document in small
 * parts, from one peer at a time. Only the first shard of an entry takes part.
 */
class ConfigController
{
public:
  explicit ConfigController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Puts a configuration in force and sends its version to the agents.
   * @return whether it is newer than the previous one and the other entries
   * have to be notified. */
  bool Apply(EntryEventContext& aContext, ConfigChanged aChange);

  /** Compares the version of an agent's copy with that of this entry. */
  void OnAgentVersion(EntryEventContext& aContext, AgentRecord& aAgent);
  void OnPeerVersion(EntryEventContext& aContext,
                     const ProcessId& aPeer,
                     ConfigVersion aVersion);
  void OnRequest(EntryEventContext& aContext,
                 const ProcessId& aFrom,
                 const ConfigRequest& aRequest) const;
  void OnUpdate(EntryEventContext& aContext,
                const ProcessId& aFrom,
                const ConfigUpdate& aUpdate);
  void OnTransferTimer(EntryEventContext& aContext);

  /** Selects the agents that keep a copy: one in each zone, and at least
   * three. All entries that know the same agents select the same ones. */
  void SelectHolders();

private:
  EntryHello MakeHello(const AgentRecord& aAgent) const;
  /** Schedules a transfer of @p aVersion, unless the store delivers it first.
   */
  void AwaitVersion(EntryEventContext& aContext, ConfigVersion aVersion);
  /** @return a peer with the newest version; absent if no reachable peer has a
   * version that is newer than this entry's. */
  std::optional<ProcessId> PickSource();

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
