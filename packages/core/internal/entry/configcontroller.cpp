#include "core/internal/entry/configcontroller.h"

#include "core/internal/entry/demandview.h"
#include "core/internal/rendezvous.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace mulberrysail::core {

namespace {

/** The least number of agents that keep a copy, if there are as many. */
constexpr std::size_t kMinHolders = 3;
/** Rendezvous key under which the agents are ranked. */
constexpr std::string_view kHolderKey = "configuration";
/** Interval at which the version is sent again to an agent that has not
 * reported it yet. */
constexpr Duration kHelloInterval = std::chrono::seconds(1);
/** How long an entry waits for the store to deliver a version that a peer has,
 * so that the document does not cross its link twice. */
constexpr Duration kStoreHeadStart = std::chrono::seconds(1);
/** The same for an entry without a configuration, which can't serve. */
constexpr Duration kFirstStoreHeadStart = std::chrono::milliseconds(250);
/** Interval at which a transfer is checked for progress. */
constexpr Duration kTransferCheckInterval = std::chrono::milliseconds(500);

bool
IsRankedBefore(const AgentRecord& aLeft, const AgentRecord& aRight)
{
  return RendezvousScore(kHolderKey, aLeft.m_id.m_name) >
         RendezvousScore(kHolderKey, aRight.m_id.m_name);
}

} // namespace

bool
ConfigController::Apply(EntryEventContext& aContext, ConfigChanged aChange)
{
  if (aChange.m_configuration.m_version <= m_board.m_config.m_version) {
    return false;
  }
  m_board.m_config = std::move(aChange.m_configuration);
  m_board.m_configCopy =
    MakeConfigCopy(m_board.m_config.m_version, std::move(aChange.m_document));
  aContext.Record(EventCode::ConfigInForce,
                  m_board.m_config.m_version.m_value,
                  EventDetail()
                    .Add("version", m_board.m_config.m_version.m_value)
                    .Add("shard", static_cast<unsigned>(m_board.m_shard))
                    .Add("services", m_board.m_config.m_services.size())
                    .Add("queues", m_board.m_config.m_queues.size())
                    .Add("bytes", m_board.m_configCopy.m_document.size()));
  if (m_board.m_shard != 0) {
    return false;
  }
  for (auto& [id, agent] : m_board.m_agents) {
    if (agent.m_reachable) {
      agent.m_configHelloAt = aContext.m_now;
      aContext.Send(id, MakeHello(agent));
    }
  }
  return true;
}

EntryHello
ConfigController::MakeHello(const AgentRecord& aAgent) const
{
  EntryHello hello = m_board.MakeHello();
  hello.m_keepConfig = aAgent.m_keepsConfig;
  hello.m_shard = m_board.m_shard;
  hello.m_demand = DemandView(m_board).StatementTo(aAgent);
  return hello;
}

void
ConfigController::OnAgentVersion(EntryEventContext& aContext,
                                 AgentRecord& aAgent)
{
  const ConfigVersion own = m_board.m_config.m_version;
  const LoadReport& theirs = aAgent.m_load;
  if (m_board.m_shard != 0) {
    return;
  }
  if (theirs.m_config > own) {
    AwaitVersion(aContext, theirs.m_config);
    return;
  }
  const bool lacksCopy = aAgent.m_keepsConfig && theirs.m_config < own;
  if ((lacksCopy || theirs.m_newestConfig < own) &&
      aContext.m_now >= aAgent.m_configHelloAt + kHelloInterval) {
    aAgent.m_configHelloAt = aContext.m_now;
    aContext.Send(aAgent.m_id, MakeHello(aAgent));
  }
}

void
ConfigController::OnPeerVersion(EntryEventContext& aContext,
                                const ProcessId& aPeer,
                                ConfigVersion aVersion)
{
  if (m_board.m_shard != 0 || aVersion <= m_board.m_config.m_version) {
    return;
  }
  m_board.m_peerConfigs[aPeer] = aVersion;
  AwaitVersion(aContext, aVersion);
}

void
ConfigController::OnRequest(EntryEventContext& aContext,
                            const ProcessId& aFrom,
                            const ConfigRequest& aRequest) const
{
  if (m_board.m_shard != 0) {
    return;
  }
  if (std::optional<ConfigUpdate> update =
        MakeConfigUpdate(m_board.m_configCopy, aRequest)) {
    aContext.Send(aFrom, std::move(*update));
  }
}

void
ConfigController::OnUpdate(EntryEventContext& aContext,
                           const ProcessId& aFrom,
                           const ConfigUpdate& aUpdate)
{
  if (aUpdate.m_version <= m_board.m_config.m_version) {
    return;
  }
  if (const std::optional<ConfigRequest> next =
        m_board.m_configTransfer.Add(aFrom, aUpdate, aContext.m_now)) {
    aContext.Send(aFrom, *next);
  }
  if (std::optional<ConfigCopy> received =
        m_board.m_configTransfer.TakeCompleted()) {
    m_board.m_receivedConfig = received->m_version;
    aContext.m_commands.emplace_back(
      ApplyConfig{ received->m_version, std::move(received->m_document) });
  }
}

void
ConfigController::AwaitVersion(EntryEventContext& aContext,
                               ConfigVersion aVersion)
{
  m_board.m_newestConfig = std::max(m_board.m_newestConfig, aVersion);
  if (m_board.m_isTransferTimerArmed ||
      m_board.m_newestConfig <= m_board.m_receivedConfig) {
    return;
  }
  m_board.m_isTransferTimerArmed = true;
  const bool hasNone = m_board.m_config.m_version == ConfigVersion{};
  m_board.m_timers.Add(aContext.m_now +
                         (hasNone ? kFirstStoreHeadStart : kStoreHeadStart),
                       ConfigTransferTimer{});
}

void
ConfigController::OnTransferTimer(EntryEventContext& aContext)
{
  m_board.m_isTransferTimerArmed = false;
  const ConfigVersion own =
    std::max(m_board.m_config.m_version, m_board.m_receivedConfig);
  if (m_board.m_newestConfig <= own) {
    return;
  }
  if (!m_board.m_configTransfer.IsInProgress(aContext.m_now)) {
    const std::optional<ProcessId> source = PickSource();
    if (!source) {
      return;
    }
    aContext.Send(*source,
                  m_board.m_configTransfer.Start(*source, own, aContext.m_now));
  }
  m_board.m_isTransferTimerArmed = true;
  m_board.m_timers.Add(aContext.m_now + kTransferCheckInterval,
                       ConfigTransferTimer{});
}

std::optional<ProcessId>
ConfigController::PickSource()
{
  ConfigVersion newest = m_board.m_config.m_version;
  std::vector<ProcessId> sources;
  const auto consider = [&](const ProcessId& aProcess, ConfigVersion aVersion) {
    if (aVersion > newest) {
      newest = aVersion;
      sources.clear();
    }
    if (aVersion == newest && newest > m_board.m_config.m_version) {
      sources.push_back(aProcess);
    }
  };
  for (const auto& [id, agent] : m_board.m_agents) {
    if (agent.m_reachable) {
      consider(id, agent.m_load.m_config);
    }
  }
  // Agents keep copies for this purpose; another entry serves callers.
  const bool hasAgent = !sources.empty();
  for (const ProcessId& peer : m_board.m_peers) {
    const auto version = m_board.m_peerConfigs.find(peer);
    if (!hasAgent && version != m_board.m_peerConfigs.end()) {
      consider(peer, version->second);
    }
  }
  if (sources.empty()) {
    return std::nullopt;
  }
  boost::random::uniform_int_distribution<std::size_t> any(0,
                                                           sources.size() - 1);
  return sources[any(m_board.m_random)];
}

void
ConfigController::SelectHolders()
{
  std::vector<AgentRecord*> candidates;
  std::map<std::string_view, AgentRecord*> firstOfZone;
  for (auto& [id, agent] : m_board.m_agents) {
    agent.m_keepsConfig = false;
    if (!agent.m_reachable || agent.m_announced.m_leaving) {
      continue;
    }
    candidates.push_back(&agent);
    AgentRecord*& first = firstOfZone[agent.m_announced.m_zone];
    first = first == nullptr || IsRankedBefore(agent, *first) ? &agent : first;
  }
  for (const auto& [zone, agent] : firstOfZone) {
    agent->m_keepsConfig = true;
  }
  const std::size_t wanted = std::min(kMinHolders, candidates.size());
  for (std::size_t i = firstOfZone.size(); i < wanted; ++i) {
    AgentRecord* next = nullptr;
    for (AgentRecord* const agent : candidates) {
      const bool isNext = !agent->m_keepsConfig &&
                          (next == nullptr || IsRankedBefore(*agent, *next));
      next = isNext ? agent : next;
    }
    next->m_keepsConfig = true;
  }
}

} // namespace mulberrysail::core
