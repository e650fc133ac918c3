#pragma once

#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/outcomecontroller.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/** Knows the agents and the other entries, and carries the configuration to
 * them. */
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
  /** Any message shows that its sender is alive. */
  void OnMessageReceived(EntryEventContext& aContext, const ProcessId& aFrom);
  void OnLoadReport(EntryEventContext& aContext,
                    const ProcessId& aFrom,
                    const LoadReport& aLoad);
  void OnLinkReset(EntryEventContext& aContext, const ProcessId& aPeer);
  void OnUnreachable(EntryEventContext& aContext, const ProcessId& aAgent);
  /** Sends signs of life, and takes note of agents that give none. */
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
  void RemoveAgent(EntryEventContext& aContext, AgentRecord& aAgent);
  void SyncConfig(EntryEventContext& aContext, AgentRecord& aAgent);
  void RebuildIndex();

  EntryBoard& m_board;
  DispatchController& m_dispatch;
  OutcomeController& m_outcomes;
  ClaimController& m_claims;
};

} // namespace mulberrysail::core
