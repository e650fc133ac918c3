#pragma once

#include "core/internal/entry/agentindex.h"
#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/configcontroller.h"
#include "core/internal/entry/crashcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/outcomecontroller.h"
#include "core/internal/entry/zonedraincontroller.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/** Tracks the agents and the other entries. */
class MembershipController
{
public:
  MembershipController(EntryBoard& aBoard,
                       DispatchController& aDispatch,
                       OutcomeController& aOutcomes,
                       ClaimController& aClaims,
                       ConfigController& aConfigs,
                       ZoneDrainController& aDrains,
                       CrashController& aCrashes)
    : m_board(aBoard)
    , m_dispatch(aDispatch)
    , m_outcomes(aOutcomes)
    , m_claims(aClaims)
    , m_configs(aConfigs)
    , m_drains(aDrains)
    , m_crashes(aCrashes)
    , m_index(aBoard, aConfigs, aCrashes)
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
  void OnIsolationTimer(EntryEventContext& aContext);
  void OnPeersChanged(EntryEventContext& aContext, PeersChanged aPeers);
  void OnPeerHello(EntryEventContext& aContext,
                   const ProcessId& aFrom,
                   const PeerHello& aHello);
  /** Applies @p aDrains if it is newer than this entry's list. */
  void OnDrains(EntryEventContext& aContext, const ZoneDrains& aDrains);
  /** Sends the other entries what a newly started entry lacks. */
  void NotifyPeers(EntryEventContext& aContext) const;

private:
  bool IsPeer(const ProcessId& aProcess) const;
  PeerHello MakePeerHello(EntryEventContext& aContext) const;
  /** Assigns agents and waiting tasks to their pools again. */
  void OnIsolationChanged(EntryEventContext& aContext);
  /** @return whether another incarnation of the agent has taken its place. */
  bool IsSuperseded(const EntryEventContext& aContext,
                    const ProcessId& aAgent) const;
  void RemoveOtherIncarnations(EntryEventContext& aContext,
                               const ProcessId& aNew);
  /** Removes the agent, fails the claims pending on it and closes its open
   * attempts. */
  void RemoveAgent(EntryEventContext& aContext, AgentRecord& aAgent);

  EntryBoard& m_board;
  DispatchController& m_dispatch;
  OutcomeController& m_outcomes;
  ClaimController& m_claims;
  ConfigController& m_configs;
  ZoneDrainController& m_drains;
  CrashController& m_crashes;
  AgentIndex m_index;
};

} // namespace mulberrysail::core
