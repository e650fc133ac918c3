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

  void OnAnnounce(EntryTurn& aTurn, const ProcessId& aFrom, Announce aAnnounce);
  /** Any message shows that its sender is alive. */
  void OnHeard(EntryTurn& aTurn, const ProcessId& aFrom);
  void OnLoad(EntryTurn& aTurn,
              const ProcessId& aFrom,
              const LoadReport& aLoad);
  void OnLinkReset(EntryTurn& aTurn, const ProcessId& aPeer);
  void OnUnreachable(EntryTurn& aTurn, const ProcessId& aAgent);
  /** Sends signs of life, and takes note of agents that give none. */
  void OnHeartbeat(EntryTurn& aTurn);

  void OnLeaseTimer(EntryTurn& aTurn, const ProcessId& aAgent);
  void OnPeersChanged(EntryTurn& aTurn, PeersChanged aPeers);
  void OnPeerHello(EntryTurn& aTurn,
                   const ProcessId& aFrom,
                   const PeerHello& aHello);
  void OnConfigChanged(EntryTurn& aTurn, ConfigChanged aChange);
  void OnConfigRequest(EntryTurn& aTurn,
                       const ProcessId& aFrom,
                       const ConfigRequest& aRequest);

private:
  bool IsPeer(const ProcessId& aProcess) const;
  PeerHello MakePeerHello(EntryTurn& aTurn) const;
  void TellPeers(EntryTurn& aTurn) const;
  void EndEarlierLives(EntryTurn& aTurn, const ProcessId& aNew);
  void Depart(EntryTurn& aTurn, AgentRecord& aAgent);
  void SyncConfig(EntryTurn& aTurn, AgentRecord& aAgent);
  void RebuildIndex();

  EntryBoard& m_board;
  DispatchController& m_dispatch;
  OutcomeController& m_outcomes;
  ClaimController& m_claims;
};

} // namespace mulberrysail::core
