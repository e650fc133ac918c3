#include "core/internal/entry/membershipcontroller.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** A configuration that an agent has not taken up is sent again. */
constexpr Duration kPushAgain = std::chrono::seconds(1);

bool
SameMembership(const Announce& aLeft, const Announce& aRight)
{
  return aLeft.m_leaving == aRight.m_leaving &&
         aLeft.m_endpoint == aRight.m_endpoint &&
         aLeft.m_workers == aRight.m_workers;
}

/** @return the agent as one that may be gone, for each of its services. */
std::vector<DepartedAgent>
Remember(const EntryTurn& aTurn, const AgentRecord& aAgent)
{
  std::vector<DepartedAgent> remembered;
  remembered.reserve(aAgent.m_served.size());
  for (const auto& [service, since] : aAgent.m_served) {
    remembered.push_back({ aAgent.m_id,
                           service,
                           Duration::zero(),
                           aTurn.m_now - aAgent.m_joinedAt });
  }
  return remembered;
}

std::string
ServiceOf(const AgentRecord& aAgent)
{
  return aAgent.m_announced.m_endpoint
           ? aAgent.m_announced.m_endpoint->m_service
           : std::string();
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
MembershipController::OnAnnounce(EntryTurn& aTurn,
                                 const ProcessId& aFrom,
                                 Announce aAnnounce)
{
  const bool known = m_board.m_agents.contains(aFrom);
  if (!known) {
    const bool outlived = std::any_of(
      m_board.m_agents.begin(), m_board.m_agents.end(), [&](const auto& aPair) {
        return aPair.first.m_name == aFrom.m_name &&
               aPair.first.m_incarnation > aFrom.m_incarnation;
      });
    if (outlived) {
      return;
    }
    EndEarlierLives(aTurn, aFrom);
    AgentRecord& fresh = m_board.m_agents[aFrom];
    fresh.m_id = aFrom;
    fresh.m_joinedAt = aTurn.m_now;
    aTurn.Record(EventCode::AgentJoined, 0, DescribeProcess("agent", aFrom));
    m_board.m_timers.Add(aTurn.m_now + aAnnounce.m_leaseFor,
                         AgentLeaseTimer{ aFrom });
    std::erase_if(m_board.m_departed, [&](const DepartedRecord& aRecord) {
      const bool same = aRecord.m_agent.m_agent == aFrom;
      if (same) {
        fresh.m_served.emplace(aRecord.m_agent.m_service, aTurn.m_now);
      }
      return same;
    });
  }
  AgentRecord& agent = m_board.m_agents.at(aFrom);
  const bool wasReachable = agent.m_reachable;
  const bool changed =
    !known || !wasReachable || !SameMembership(agent.m_announced, aAnnounce);
  if (aAnnounce.m_leaving && !agent.m_announced.m_leaving) {
    aTurn.Record(EventCode::AgentLeaving, 0, DescribeProcess("agent", aFrom));
  }
  agent.m_heardAt = aTurn.m_now;
  agent.m_reachable = true;
  agent.m_announced = std::move(aAnnounce);
  const bool serves =
    agent.m_announced.m_endpoint &&
    agent.m_served.emplace(agent.m_announced.m_endpoint->m_service, aTurn.m_now)
      .second;
  OnLoad(aTurn, aFrom, agent.m_announced.m_load);
  if (serves) {
    // A peer that can't hear the agent has to know that it may hold keys.
    TellPeers(aTurn);
  }
  if (changed) {
    RebuildIndex();
    m_dispatch.DispatchAll(aTurn);
  }
}

void
MembershipController::EndEarlierLives(EntryTurn& aTurn, const ProcessId& aNew)
{
  std::vector<ProcessId> earlier;
  for (const auto& [id, agent] : m_board.m_agents) {
    if (id.m_name == aNew.m_name) {
      earlier.push_back(id);
    }
  }
  for (const ProcessId& id : earlier) {
    Depart(aTurn, m_board.m_agents.at(id));
  }
}

void
MembershipController::Depart(EntryTurn& aTurn, AgentRecord& aAgent)
{
  aTurn.Record(EventCode::AgentForgotten,
               0,
               DescribeProcess("agent", aAgent.m_id)
                 .Add("silent_ms", aTurn.m_now - aAgent.m_heardAt)
                 .Add("open", aAgent.m_open.size()));
  aAgent.m_reachable = false;
  for (DepartedAgent& departed : Remember(aTurn, aAgent)) {
    m_board.m_departed.push_back({ std::move(departed), aTurn.m_now });
  }
  while (!m_board.m_departed.empty() &&
         m_board.m_departed.front().m_departedAt +
             m_board.m_policy.m_keyRetention <
           aTurn.m_now) {
    m_board.m_departed.pop_front();
  }
  m_claims.OnAgentGone(aTurn, aAgent.m_id);
  m_outcomes.OnAgentGone(aTurn, aAgent);
  m_board.m_agents.erase(ProcessId(aAgent.m_id));
  RebuildIndex();
  m_dispatch.DispatchAll(aTurn);
}

void
MembershipController::OnHeard(EntryTurn& aTurn, const ProcessId& aFrom)
{
  const auto found = m_board.m_agents.find(aFrom);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  agent.m_heardAt = aTurn.m_now;
  agent.m_askedAt.reset();
  if (!agent.m_reachable) {
    agent.m_reachable = true;
    RebuildIndex();
  }
}

void
MembershipController::OnLoad(EntryTurn& aTurn,
                             const ProcessId& aFrom,
                             const LoadReport& aLoad)
{
  const auto found = m_board.m_agents.find(aFrom);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  // The message was on its way for a while, so the agent's clock is ahead of
  // what this says: instants told to it come no later than meant (the rule
  // for leases and clock skew of the object consistency paper).
  agent.m_clockOffset =
    aLoad.m_reportedAt.time_since_epoch() - aTurn.m_now.time_since_epoch();
  DispatchController::TakeLoad(aTurn, agent, aLoad);
  SyncConfig(aTurn, agent);
}

void
MembershipController::SyncConfig(EntryTurn& aTurn, AgentRecord& aAgent)
{
  const ConfigVersion own = m_board.m_config.m_version;
  const ConfigVersion theirs = aAgent.m_load.m_config;
  if (m_board.m_shard != 0 || theirs == own) {
    return;
  }
  if (aTurn.m_now < aAgent.m_configPushedAt + kPushAgain &&
      aAgent.m_configPushed == std::max(own, theirs)) {
    return;
  }
  aAgent.m_configPushed = std::max(own, theirs);
  aAgent.m_configPushedAt = aTurn.m_now;
  if (theirs < own) {
    aTurn.Send(aAgent.m_id, ConfigUpdate{ own, m_board.m_document });
  } else {
    aTurn.Send(aAgent.m_id, ConfigRequest{ own });
  }
}

void
MembershipController::OnLinkReset(EntryTurn& aTurn, const ProcessId& aPeer)
{
  if (IsPeer(aPeer)) {
    aTurn.Send(aPeer, MakePeerHello(aTurn));
    return;
  }
  EntryHello hello;
  hello.m_config = m_board.m_config.m_version;
  hello.m_draining = m_board.m_draining;
  aTurn.Send(aPeer, hello);
  const auto found = m_board.m_agents.find(aPeer);
  if (found != m_board.m_agents.end()) {
    found->second.m_configPushed = {};
    m_outcomes.AskForAll(aTurn, found->second);
  }
}

void
MembershipController::OnUnreachable(EntryTurn& aTurn, const ProcessId& aAgent)
{
  const auto found = m_board.m_agents.find(aAgent);
  if (found == m_board.m_agents.end() || !found->second.m_reachable) {
    return;
  }
  m_outcomes.OnAgentSilent(aTurn, found->second);
  RebuildIndex();
}

void
MembershipController::OnHeartbeat(EntryTurn& aTurn)
{
  const Duration interval = m_board.m_policy.m_openAttemptHeartbeat;
  bool anyOpen = false;
  bool changed = false;
  bool placedAgain = false;
  EntryHello hello;
  hello.m_config = m_board.m_config.m_version;
  hello.m_draining = m_board.m_draining;
  for (auto& [id, agent] : m_board.m_agents) {
    if (agent.m_open.empty()) {
      continue;
    }
    anyOpen = true;
    const Duration silent =
      agent.m_askedAt ? aTurn.m_now - *agent.m_askedAt : Duration::zero();
    if (silent < m_board.m_policy.m_agentTimeout) {
      const bool due = aTurn.m_now - agent.m_heardAt >= interval ||
                       aTurn.m_now - agent.m_sentAt >= interval;
      if (due) {
        aTurn.Send(id, hello);
        agent.m_sentAt = aTurn.m_now;
        agent.m_askedAt = agent.m_askedAt.value_or(aTurn.m_now);
      }
      continue;
    }
    // From here on it gets no sign of life, so that it ends what runs there
    // even if it still hears this entry.
    if (agent.m_reachable) {
      agent.m_reachable = false;
      changed = true;
      aTurn.Record(EventCode::AgentSilent,
                   0,
                   DescribeProcess("agent", id)
                     .Add("silent_ms", aTurn.m_now - agent.m_heardAt)
                     .Add("open", agent.m_open.size()));
    }
    m_outcomes.OnSilentAttempts(aTurn, agent);
    placedAgain = true;
  }
  m_board.m_heartbeatArmed = anyOpen;
  if (anyOpen) {
    m_board.m_timers.Add(aTurn.m_now + interval / 2, HeartbeatTimer{});
  }
  if (changed) {
    RebuildIndex();
  }
  if (changed || placedAgain) {
    m_dispatch.DispatchAll(aTurn);
  }
}

void
MembershipController::OnLeaseTimer(EntryTurn& aTurn, const ProcessId& aAgent)
{
  const auto found = m_board.m_agents.find(aAgent);
  if (found == m_board.m_agents.end()) {
    return;
  }
  AgentRecord& agent = found->second;
  const Instant lapses = agent.m_heardAt + agent.m_announced.m_leaseFor;
  if (lapses > aTurn.m_now) {
    m_board.m_timers.Add(lapses, AgentLeaseTimer{ aAgent });
    return;
  }
  // It may only be cut off. It is remembered, without getting work, while it
  // could still tell what became of attempts and caller keys.
  const Instant forget = agent.m_heardAt + m_board.m_policy.m_keyRetention;
  if (forget > aTurn.m_now) {
    OnUnreachable(aTurn, aAgent);
    m_board.m_timers.Add(
      std::min(forget, aTurn.m_now + agent.m_announced.m_leaseFor),
      AgentLeaseTimer{ aAgent });
    m_dispatch.DispatchAll(aTurn);
    return;
  }
  Depart(aTurn, agent);
}

void
MembershipController::OnPeersChanged(EntryTurn& aTurn, PeersChanged aPeers)
{
  for (const ProcessId& peer : aPeers.m_entries) {
    if (std::find(m_board.m_peers.begin(), m_board.m_peers.end(), peer) ==
        m_board.m_peers.end()) {
      aTurn.Record(EventCode::EntryJoined, 0, DescribeProcess("entry", peer));
    }
  }
  for (const ProcessId& peer : m_board.m_peers) {
    if (std::find(aPeers.m_entries.begin(), aPeers.m_entries.end(), peer) ==
        aPeers.m_entries.end()) {
      aTurn.Record(
        EventCode::EntryForgotten, 0, DescribeProcess("entry", peer));
    }
  }
  m_board.m_peers = std::move(aPeers.m_entries);
  std::erase_if(m_board.m_peers, [this](const ProcessId& aPeer) {
    return aPeer.m_name == m_board.m_self.m_name;
  });
}

PeerHello
MembershipController::MakePeerHello(EntryTurn& aTurn) const
{
  PeerHello hello;
  hello.m_config = m_board.m_config.m_version;
  hello.m_draining = m_board.m_draining;
  hello.m_recordsCover = aTurn.m_now - m_board.m_departuresKnownSince;
  for (const DepartedRecord& record : m_board.m_departed) {
    DepartedAgent departed = record.m_agent;
    departed.m_age = aTurn.m_now - record.m_departedAt;
    hello.m_departed.push_back(std::move(departed));
  }
  for (const auto& [id, agent] : m_board.m_agents) {
    for (DepartedAgent& present : Remember(aTurn, agent)) {
      hello.m_departed.push_back(std::move(present));
    }
  }
  return hello;
}

void
MembershipController::OnPeerHello(EntryTurn& aTurn,
                                  const ProcessId& aFrom,
                                  const PeerHello& aHello)
{
  for (const DepartedAgent& departed : aHello.m_departed) {
    const auto present = m_board.m_agents.find(departed.m_agent);
    if (present != m_board.m_agents.end()) {
      // It may have had a service before this entry knew it.
      present->second.m_served.emplace(departed.m_service, aTurn.m_now);
      continue;
    }
    const auto known =
      std::find_if(m_board.m_departed.begin(),
                   m_board.m_departed.end(),
                   [&](const DepartedRecord& aRecord) {
                     return aRecord.m_agent.m_agent == departed.m_agent &&
                            aRecord.m_agent.m_service == departed.m_service;
                   });
    const Instant departedAt = aTurn.m_now - departed.m_age;
    if (known == m_board.m_departed.end()) {
      m_board.m_departed.push_back({ departed, departedAt });
    } else {
      known->m_departedAt = std::max(known->m_departedAt, departedAt);
    }
  }
  m_board.m_departuresKnownSince = std::min(
    m_board.m_departuresKnownSince, aTurn.m_now - aHello.m_recordsCover);
  if (m_board.m_shard == 0 && aHello.m_config > m_board.m_config.m_version) {
    aTurn.Send(aFrom, ConfigRequest{ m_board.m_config.m_version });
  }
}

void
MembershipController::OnConfigChanged(EntryTurn& aTurn, ConfigChanged aChange)
{
  if (aChange.m_configuration.m_version <= m_board.m_config.m_version) {
    return;
  }
  m_board.m_config = std::move(aChange.m_configuration);
  m_board.m_document = std::move(aChange.m_document);
  aTurn.Record(EventCode::ConfigInForce,
               m_board.m_config.m_version.m_value,
               EventDetail()
                 .Add("version", m_board.m_config.m_version.m_value)
                 .Add("shard", static_cast<unsigned>(m_board.m_shard))
                 .Add("services", m_board.m_config.m_services.size())
                 .Add("queues", m_board.m_config.m_queues.size()));
  if (m_board.m_shard != 0) {
    return;
  }
  for (auto& [id, agent] : m_board.m_agents) {
    SyncConfig(aTurn, agent);
  }
  TellPeers(aTurn);
}

void
MembershipController::TellPeers(EntryTurn& aTurn) const
{
  if (m_board.m_shard != 0) {
    return;
  }
  const PeerHello hello = MakePeerHello(aTurn);
  for (const ProcessId& peer : m_board.m_peers) {
    aTurn.Send(peer, hello);
  }
}

void
MembershipController::OnConfigRequest(EntryTurn& aTurn,
                                      const ProcessId& aFrom,
                                      const ConfigRequest& aRequest)
{
  if (m_board.m_shard == 0 && aRequest.m_knownVersion < m_board.m_config.m_version) {
    aTurn.Send(aFrom,
               ConfigUpdate{ m_board.m_config.m_version, m_board.m_document });
  }
}

void
MembershipController::RebuildIndex()
{
  for (auto& [name, service] : m_board.m_services) {
    service.m_agents.clear();
    service.m_requests.m_slots = 0;
  }
  m_board.m_taskAgents.clear();
  m_board.m_tasks.m_slots = 0;
  for (auto& [id, agent] : m_board.m_agents) {
    const std::string name = ServiceOf(agent);
    if (!name.empty() && agent.ServesRequests(name)) {
      ServiceState& service = m_board.Service(name);
      service.m_agents.push_back(&agent);
      service.m_requests.m_slots += agent.Slots();
    }
    if (!agent.ServesTasks()) {
      continue;
    }
    m_board.m_taskAgents.push_back(&agent);
    for (const WorkerInfo& worker : agent.m_announced.m_workers) {
      m_board.m_tasks.m_slots +=
        worker.m_quarantined ? 0 : worker.m_capacity.m_milliCores / 1000.0;
    }
  }
}

} // namespace mulberrysail::core
