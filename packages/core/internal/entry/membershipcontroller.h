#pragma once

#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/outcomecontroller.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/** Tracks the agents and the other entries, and distributes the configuration
 * to them. */
class MembershipController
{
public:
  MembershipController(EntryBoard& aBoard,
                       DispatchController& aDispatch,
                       OutcomeController& aOutcomes,
                       ClaimController& aClaims)
    : m_board(aBoard)
    , m_dispatch(aDispatch)
    , m_outcomes(aOutcomes)
    , m_claims(aClaims)
  {
  }

  void OnAnnounce(EntryEventContext& aContext,
                  const ProcessId& aFrom,
                  Announce aAnnounce);
  /** Any message counts as a heartbeat of its sender. */
  void OnMessageReceived(EntryEventContext& aContext, const ProcessId& aFrom);
  void OnLoadReport(EntryEventContext& aContext,
                    const ProcessId& aFrom,
                    const LoadReport& aLoad);
  void OnLinkReset(EntryEventContext& aContext, const ProcessId& aPeer);
  /** Stops offering work to @p aAgent until a message from it arrives. */
  void OnUnreachable(EntryEventContext& aContext, const ProcessId& aAgent);
  /** Sends heartbeats to agents with open attempts, and detects unresponsive
   * agents. */
  void OnHeartbeat(EntryEventContext& aContext);

  void OnLeaseTimer(EntryEventContext& aContext, const ProcessId& aAgent);
  void OnPeersChanged(EntryEventContext& aContext, PeersChanged aPeers);
  void OnPeerHello(EntryEventContext& aContext,
                   const ProcessId& aFrom,
                   const PeerHello& aHello);
  void OnConfigChanged(EntryEventContext& aContext, ConfigChanged aChange);
  void OnConfigRequest(EntryEventContext& aContext,
                       const ProcessId& aFrom,
                       const ConfigRequest& aRequest);

private:
  bool IsPeer(const ProcessId& aProcess) const;
  PeerHello MakePeerHello(EntryEventContext& aContext) const;
  void NotifyPeers(EntryEventContext& aContext) const;
  void RemoveEarlierIncarnations(EntryEventContext& aContext,
                                 const ProcessId& aNew);
  /** Removes the agent, fails the claims pending on it and closes its open
   * attempts. */
  void RemoveAgent(EntryEventContext& aContext, AgentRecord& aAgent);
  /** Sends the agent a newer configuration, or requests one from it. */
  void SyncConfig(EntryEventContext& aContext, AgentRecord& aAgent);
  /** Recomputes the agents and slots of each service and of the workers. */
  void RebuildIndex();

  EntryBoard& m_board;
  DispatchController& m_dispatch;
  OutcomeController& m_outcomes;
  ClaimController& m_claims;
};

} // namespace mulberrysail::core
