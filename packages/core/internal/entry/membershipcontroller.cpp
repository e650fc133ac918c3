#include "core/internal/entry/membershipcontroller.h"

#include "core/internal/entry/demandview.h"
#include "core/internal/entry/quarantinelimit.h"
#include "core/internal/entry/revocationcontroller.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Incarnation numbers come from the time of day, which may be set back before
 * a restart. So a lower number is not taken for an earlier incarnation if the
 * higher one has been silent for this long. Shorter than the heartbeat of
 * agents, so that the next one is accepted. */
constexpr Duration kIncarnationTimeout = std::chrono::seconds(1);

bool
SameMembership(const Announce& aLeft, const Announce& aRight)
{
  return aLeft.m_leaving == aRight.m_leaving &&
         aLeft.m_endpoint == aRight.m_endpoint &&
         aLeft.m_workers == aRight.m_workers;
}

/** @return whether the workers of @p aRight run tasks at the same speed as
 * those of @p aLeft: a worker with another name or labels is another one, and a
 * worker that begins to warm up has restarted. */
bool
SameSpeed(const Announce& aLeft, const Announce& aRight)
{
  return std::equal(aLeft.m_workers.begin(),
                    aLeft.m_workers.end(),
                    aRight.m_workers.begin(),
                    aRight.m_workers.end(),
                    [](const WorkerInfo& aBefore, const WorkerInfo& aNow) {
                      return aBefore.m_name == aNow.m_name &&
                             aBefore.m_labels == aNow.m_labels &&
                             (aBefore.m_warmingUp || !aNow.m_warmingUp);
                    });
}

/** @return one record for each service of the agent, as peers need it if the
 * agent departs. */
std::vector<DepartedAgent>
AsDepartedAgents(const EntryEventContext& aContext, const AgentRecord& aAgent)
{
  std::vector<DepartedAgent> departures;
  departures.reserve(aAgent.m_servedSince.size());
  for (const auto& [service, since] : aAgent.m_servedSince) {
    departures.push_back({ aAgent.m_id,
                           service,
                           Duration::zero(),
                           aContext.m_now - aAgent.m_joinedAt });
  }
  return departures;
}

} // namespace

bool
MembershipController::IsPeer(const ProcessId& aProcess) const
{
  return std::any_of(
    m_board.m_peers.begin(),
    m_board.m_peers.end(),
    [&](const ProcessId& aPeer) { return aPeer.m_name == aProcess.m_name; });
}

void
MembershipController::OnAnnounce(EntryEventContext& aContext,
                                 const ProcessId& aFrom,
                                 Announce aAnnounce)
{
  OnDrains(aContext, aAnnounce.m_drains);
  const bool known = m_board.m_agents.contains(aFrom);
  if (!known) {
    if (IsSuperseded(aContext, aFrom)) {
      return;
    }
    RemoveOtherIncarnations(aContext, aFrom);
    AgentRecord& fresh = m_board.m_agents[aFrom];
    fresh.m_id = aFrom;
    fresh.m_joinedAt = aContext.m_now;
    aContext.Record(EventCode::AgentJoined, 0, DescribeProcess("agent", aFrom));
    m_board.m_timers.Add(aContext.m_now + aAnnounce.m_leaseFor,
                         AgentLeaseTimer{ aFrom });
    std::erase_if(m_board.m_departed, [&](const DepartedRecord& aRecord) {
      const bool same = aRecord.m_agent.m_agent == aFrom;
      if (same) {
        fresh.m_servedSince.emplace(aRecord.m_agent.m_service, aContext.m_now);
      }
      return same;
    });
  }
  AgentRecord& agent = m_board.m_agents.at(aFrom);
  const bool wasReachable = agent.m_reachable;
  const bool changed =
    !known || !wasReachable || !SameMembership(agent.m_announced, aAnnounce);
  if (aAnnounce.m_leaving && !agent.m_announced.m_leaving) {
    aContext.Record(
      EventCode::AgentLeaving, 0, DescribeProcess("agent", aFrom));
  }
  if (!SameSpeed(agent.m_announced, aAnnounce)) {
    agent.m_taskSlowdown = {};
    agent.m_speedClass = SpeedClass::Normal;
  }
  agent.m_lastReceivedAt = aContext.m_now;
  agent.m_reachable = true;
  const bool isolationChanged = m_crashes.OnCrashes(
    aContext, agent, std::exchange(aAnnounce.m_crashes, {}));
  agent.m_announced = std::move(aAnnounce);
  agent.RememberWorkers();
  const bool isNewService =
    agent.m_announced.m_endpoint &&
    agent.m_servedSince
      .emplace(agent.m_announced.m_endpoint->m_service, aContext.m_now)
      .second;
  if (isolationChanged) {
    OnIsolationChanged(aContext);
  } else if (changed) {
    m_index.Rebuild();
  }
  OnLoadReport(aContext, aFrom, agent.m_announced.m_load);
  if (isNewService) {
    // A peer that receives no messages from the agent must know that the agent
    // may hold keys.
    NotifyPeers(aContext);
  }
  if (changed) {
    QuarantineLimit(m_board).Apply(aContext);
    m_dispatch.DispatchAll(aContext);
  }
}

bool
MembershipController::IsSuperseded(const EntryEventContext& aContext,
                                   const ProcessId& aAgent) const
{
  return std::any_of(
    m_board.m_agents.begin(), m_board.m_agents.end(), [&](const auto& aPair) {
      const auto& [id, agent] = aPair;
      return id.m_name == aAgent.m_name &&
             id.m_incarnation > aAgent.m_incarnation &&
             aContext.m_now - agent.m_lastReceivedAt < kIncarnationTimeout;
    });
}

void
MembershipController::RemoveOtherIncarnations(EntryEventContext& aContext,
                                              const ProcessId& aNew)
{
  std::vector<ProcessId> others;
  for (const auto& [id, agent] : m_board.m_agents) {
    if (id.m_name == aNew.m_name) {
      others.push_back(id);
    }
  }
  for (const ProcessId& id : others) {
    RemoveAgent(aContext, m_board.m_agents.at(id));
  }
}

void
MembershipController::RemoveAgent(EntryEventContext& aContext,
                                  AgentRecord& aAgent)
{
  aContext.Record(EventCode::AgentForgotten,
                  0,
                  DescribeProcess("agent", aAgent.m_id)
                    .Add("silent_ms", aContext.m_now - aAgent.m_lastReceivedAt)
                    .Add("open", aAgent.m_openAttempts.size()));
  aAgent.m_reachable = false;
  m_board.m_revocations.SetLeaseGrantedAt(aAgent.m_id, aAgent.m_leaseGrantedAt);
  for (DepartedAgent& departed : AsDepartedAgents(aContext, aAgent)) {
    m_board.m_departed.push_back({ std::move(departed), aContext.m_now });
  }
  while (!m_board.m_departed.empty() &&
         m_board.m_departed.front().m_departedAt +
             m_board.m_policy.m_keyRetention <
           aContext.m_now) {
    m_board.m_departed.pop_front();
  }
  m_claims.FailClaimsPendingOn(aContext, aAgent.m_id);
  m_outcomes.OnAgentRemoved(aContext, aAgent);
  m_board.m_agents.erase(ProcessId(aAgent.m_id));
  m_index.Rebuild();
  m_dispatch.DispatchAll(aContext);
}

void
MembershipController::OnMessageReceived(EntryEventContext& aContext,
                                        const ProcessId& aFrom)
{
  const auto found = m_board.m_agents.find(aFrom);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  agent.m_lastReceivedAt = aContext.m_now;
  agent.m_heartbeatPendingSince.reset();
  if (!agent.m_reachable) {
    agent.m_reachable = true;
    m_index.Rebuild();
  }
}

void
MembershipController::OnLoadReport(EntryEventContext& aContext,
                                   const ProcessId& aFrom,
                                   const LoadReport& aLoad)
{
  const auto found = m_board.m_agents.find(aFrom);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  agent.m_clockOffset.Add(aContext.m_now, aLoad.m_reportedAt);
  DispatchController::ApplyLoad(aContext, agent, aLoad);
  m_configs.OnAgentVersion(aContext, agent);
  m_drains.OnAgentDigest(aContext, agent);
}

void
MembershipController::OnLinkReset(EntryEventContext& aContext,
                                  const ProcessId& aPeer)
{
  if (IsPeer(aPeer)) {
    aContext.Send(aPeer, MakePeerHello(aContext));
    return;
  }
  EntryHello hello = m_board.MakeHello();
  const auto found = m_board.m_agents.find(aPeer);
  if (found != m_board.m_agents.end()) {
    hello.m_demand = DemandView(m_board).StatementTo(found->second);
  }
  aContext.Send(aPeer, hello);
  if (found != m_board.m_agents.end()) {
    found->second.m_configHelloAt = {};
    m_outcomes.ReconcileOpenAttempts(aContext, found->second);
    RevocationController(m_board).OnLinkReset(aContext, aPeer);
  }
}

void
MembershipController::OnUnreachable(EntryEventContext& aContext,
                                    const ProcessId& aAgent)
{
  const auto found = m_board.m_agents.find(aAgent);
  if (found == m_board.m_agents.end() || !found->second.m_reachable) {
    return;
  }
  m_outcomes.OnAgentUnreachable(aContext, found->second);
  m_index.Rebuild();
}

void
MembershipController::OnHeartbeat(EntryEventContext& aContext)
{
  const Duration interval = m_board.m_policy.m_openAttemptHeartbeat;
  bool anyOpen = false;
  bool changed = false;
  bool retried = false;
  EntryHello hello = m_board.MakeHello();
  for (auto& [id, agent] : m_board.m_agents) {
    if (agent.m_openAttempts.empty()) {
      continue;
    }
    anyOpen = true;
    const Duration unanswered =
      agent.m_heartbeatPendingSince
        ? m_board.m_messageProgress.UnansweredFor(
            aContext.m_now, *agent.m_heartbeatPendingSince)
        : Duration::zero();
    if (unanswered < m_board.m_policy.m_agentTimeout) {
      const bool due = aContext.m_now - agent.m_lastReceivedAt >= interval ||
                       aContext.m_now - agent.m_renewalSentAt >= interval;
      if (due) {
        hello.m_demand = DemandView(m_board).StatementTo(agent);
        hello.m_leaseGrantedAt =
          agent.RenewLease(aContext.m_now, m_board.LeaseTime(aContext.m_now));
        aContext.Send(id, hello);
        agent.m_heartbeatPendingSince =
          agent.m_heartbeatPendingSince.value_or(aContext.m_now);
      }
      continue;
    }
    // No further heartbeats are sent to an unresponsive agent, so that the
    // agent ends the runs of this entry even if only its replies are lost.
    if (agent.m_reachable) {
      agent.m_reachable = false;
      changed = true;
      aContext.Record(
        EventCode::AgentSilent,
        0,
        DescribeProcess("agent", id)
          .Add("silent_ms", aContext.m_now - agent.m_lastReceivedAt)
          .Add("open", agent.m_openAttempts.size()));
    }
    m_outcomes.OnAgentUnresponsive(aContext, agent);
    retried = true;
  }
  m_board.m_isHeartbeatArmed = anyOpen;
  if (anyOpen) {
    m_board.m_timers.Add(aContext.m_now + interval / 2, HeartbeatTimer{});
  }
  if (changed) {
    m_index.Rebuild();
  }
  if (changed || retried) {
    m_dispatch.DispatchAll(aContext);
  }
}

void
MembershipController::OnLeaseTimer(EntryEventContext& aContext,
                                   const ProcessId& aAgent)
{
  const auto found = m_board.m_agents.find(aAgent);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  const Instant leaseExpiresAt =
    agent.m_lastReceivedAt + agent.m_announced.m_leaseFor;
  if (leaseExpiresAt > aContext.m_now) {
    m_board.m_timers.Add(leaseExpiresAt, AgentLeaseTimer{ aAgent });
    return;
  }
  // The agent may only be partitioned from this entry. It gets no work, but is
  // kept while it could still report the fate of attempts and caller keys.
  const Instant removeAt =
    agent.m_lastReceivedAt + m_board.m_policy.m_keyRetention;
  if (removeAt > aContext.m_now) {
    OnUnreachable(aContext, aAgent);
    m_board.m_timers.Add(
      std::min(removeAt, aContext.m_now + agent.m_announced.m_leaseFor),
      AgentLeaseTimer{ aAgent });
    m_dispatch.DispatchAll(aContext);
    return;
  }
  RemoveAgent(aContext, agent);
}

void
MembershipController::OnPeersChanged(EntryEventContext& aContext,
                                     PeersChanged aPeers)
{
  for (const ProcessId& peer : aPeers.m_entries) {
    if (std::find(m_board.m_peers.begin(), m_board.m_peers.end(), peer) ==
        m_board.m_peers.end()) {
      aContext.Record(
        EventCode::EntryJoined, 0, DescribeProcess("entry", peer));
    }
  }
  for (const ProcessId& peer : m_board.m_peers) {
    if (std::find(aPeers.m_entries.begin(), aPeers.m_entries.end(), peer) ==
        aPeers.m_entries.end()) {
      aContext.Record(
        EventCode::EntryForgotten, 0, DescribeProcess("entry", peer));
    }
  }
  m_board.m_peers = std::move(aPeers.m_entries);
  std::erase_if(m_board.m_peers, [this](const ProcessId& aPeer) {
    return aPeer.m_name == m_board.m_self.m_name;
  });
}

PeerHello
MembershipController::MakePeerHello(EntryEventContext& aContext) const
{
  PeerHello hello;
  hello.m_config = m_board.m_config.m_version;
  hello.m_draining = m_board.m_draining;
  hello.m_drains = m_board.m_drains;
  hello.m_recordsCover = aContext.m_now - m_board.m_departuresKnownSince;
  for (const DepartedRecord& record : m_board.m_departed) {
    DepartedAgent departed = record.m_agent;
    departed.m_age = aContext.m_now - record.m_departedAt;
    hello.m_departed.push_back(std::move(departed));
  }
  for (const auto& [id, agent] : m_board.m_agents) {
    for (DepartedAgent& present : AsDepartedAgents(aContext, agent)) {
      hello.m_departed.push_back(std::move(present));
    }
  }
  return hello;
}

void
MembershipController::OnPeerHello(EntryEventContext& aContext,
                                  const ProcessId& aFrom,
                                  const PeerHello& aHello)
{
  OnDrains(aContext, aHello.m_drains);
  for (const DepartedAgent& departed : aHello.m_departed) {
    const auto present = m_board.m_agents.find(departed.m_agent);
    if (present != m_board.m_agents.end()) {
      // The agent may have served the service before this entry knew the agent.
      present->second.m_servedSince.emplace(departed.m_service, aContext.m_now);
      continue;
    }
    const auto known =
      std::find_if(m_board.m_departed.begin(),
                   m_board.m_departed.end(),
                   [&](const DepartedRecord& aRecord) {
                     return aRecord.m_agent.m_agent == departed.m_agent &&
                            aRecord.m_agent.m_service == departed.m_service;
                   });
    const Instant departedAt = aContext.m_now - departed.m_age;
    if (known == m_board.m_departed.end()) {
      m_board.m_departed.push_back({ departed, departedAt });
    } else {
      known->m_departedAt = std::max(known->m_departedAt, departedAt);
    }
  }
  m_board.m_departuresKnownSince = std::min(
    m_board.m_departuresKnownSince, aContext.m_now - aHello.m_recordsCover);
  m_configs.OnPeerVersion(aContext, aFrom, aHello.m_config);
}

void
MembershipController::OnDrains(EntryEventContext& aContext,
                               const ZoneDrains& aDrains)
{
  if (!m_drains.Apply(aContext, aDrains)) {
    return;
  }
  NotifyPeers(aContext);
  m_index.Rebuild();
  m_dispatch.DispatchAll(aContext);
}

void
MembershipController::NotifyPeers(EntryEventContext& aContext) const
{
  if (m_board.m_shard != 0) {
    return;
  }
  const PeerHello hello = MakePeerHello(aContext);
  for (const ProcessId& peer : m_board.m_peers) {
    aContext.Send(peer, hello);
  }
}

void
MembershipController::OnIsolationTimer(EntryEventContext& aContext)
{
  if (m_crashes.OnTimer(aContext)) {
    OnIsolationChanged(aContext);
  }
}

void
MembershipController::OnIsolationChanged(EntryEventContext& aContext)
{
  m_index.Rebuild();
  m_crashes.MoveWaitingTasks();
  m_dispatch.DispatchAll(aContext);
}

} // namespace mulberrysail::core
