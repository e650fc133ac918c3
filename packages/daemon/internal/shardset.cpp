#include "daemon/internal/shardset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace mulberrysail::daemon {

namespace {

std::string
ShardName(const std::string& aName, std::size_t aShard, std::size_t aShards)
{
  return aShards == 1 ? aName : aName + "#" + std::to_string(aShard);
}

/** @return the slowdown that was learned with more confidence. Shards learn
 * separately, and a slowdown is nearer to 1 the less is known of it. */
double
FartherFromOne(double aLeft, double aRight)
{
  return std::abs(std::log(aLeft)) < std::abs(std::log(aRight)) ? aRight
                                                                : aLeft;
}

} // namespace

ShardSet::ShardSet(const core::ProcessId& aSelf,
                   std::size_t aShards,
                   telemetry::IEventLog& aEvents,
                   const CoreFactory& aMakeCore)
  : m_wakeup(aShards, [this](std::size_t aShard) {
    At(aShard).Handle(core::TimerFired{});
  })
{
  for (std::size_t i = 0; i < aShards; ++i) {
    m_ids.push_back(
      { ShardName(aSelf.m_name, i, aShards), aSelf.m_incarnation });
    m_shards.push_back(std::make_unique<EntryShard>(
      aMakeCore(m_ids.back(), static_cast<std::uint8_t>(i)),
      aEvents,
      m_wakeup,
      i));
  }
}

ShardSet::~ShardSet()
{
  Stop();
}

std::optional<core::Error>
ShardSet::Start(const TransportFactory& aMakeTransport)
{
  for (std::size_t i = 0; i < m_shards.size(); ++i) {
    EntryShard& shard = *m_shards[i];
    std::optional<core::Error> error =
      shard.StartTransport([&] { return aMakeTransport(m_ids[i], i, shard); });
    if (error) {
      return error;
    }
  }
  return std::nullopt;
}

void
ShardSet::Stop()
{
  m_wakeup.Stop();
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    shard->StopTransport();
  }
}

EntryShard&
ShardSet::ShardForName(std::string_view aName) const
{
  const std::uint64_t hash = XXH3_64bits(aName.data(), aName.size());
  return *m_shards[hash % m_shards.size()];
}

EntryShard*
ShardSet::ShardForSubmission(core::SubmissionId aSubmission)
{
  const std::uint8_t shard = core::ShardOf(aSubmission);
  return shard < m_shards.size() ? m_shards[shard].get() : nullptr;
}

void
ShardSet::Broadcast(const core::EntryEvent& aEvent)
{
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    shard->Handle(aEvent);
  }
}

std::vector<core::AgentStatus>
ShardSet::Agents() const
{
  std::map<core::ProcessId, core::AgentStatus> agents;
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    for (core::AgentStatus& agent : shard->Agents()) {
      const std::uint32_t open = agent.m_openAttempts;
      const double slowdown = agent.m_taskSlowdown;
      const auto [known, added] =
        agents.try_emplace(agent.m_agent, std::move(agent));
      if (!added) {
        known->second.m_openAttempts += open;
        known->second.m_taskSlowdown =
          FartherFromOne(known->second.m_taskSlowdown, slowdown);
      }
    }
  }
  std::vector<core::AgentStatus> list;
  list.reserve(agents.size());
  for (auto& [id, agent] : agents) {
    list.push_back(std::move(agent));
  }
  return list;
}

core::ZoneDrains
ShardSet::Drains() const
{
  core::ZoneDrains newest;
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    core::ZoneDrains drains = shard->Drains();
    if (drains.m_revision > newest.m_revision) {
      newest = std::move(drains);
    }
  }
  return newest;
}

core::EntryCounters
ShardSet::Counters() const
{
  core::EntryCounters sum;
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    const core::EntryCounters counters = shard->Counters();
    sum.m_admitted += counters.m_admitted;
    sum.m_refused += counters.m_refused;
    sum.m_completed += counters.m_completed;
    sum.m_failed += counters.m_failed;
    sum.m_offers += counters.m_offers;
    sum.m_offersRefused += counters.m_offersRefused;
    sum.m_retries += counters.m_retries;
    sum.m_agentsCompared += counters.m_agentsCompared;
    sum.m_repliesDropped += counters.m_repliesDropped;
    sum.m_givenUp += counters.m_givenUp;
    sum.m_forwarded += counters.m_forwarded;
    sum.m_forwardsAccepted += counters.m_forwardsAccepted;
    sum.m_forwardsTakenBack += counters.m_forwardsTakenBack;
    sum.m_forwardsCancelled += counters.m_forwardsCancelled;
    sum.m_forwardsUnanswered += counters.m_forwardsUnanswered;
    sum.m_forwardPercent += counters.m_forwardPercent;
    sum.m_processorUsedPercent += counters.m_processorUsedPercent;
    sum.m_longRuns += counters.m_longRuns;
    // Each shard learns the speeds of the same agents.
    sum.m_agentsFast = std::max(sum.m_agentsFast, counters.m_agentsFast);
    sum.m_agentsSlow = std::max(sum.m_agentsSlow, counters.m_agentsSlow);
    sum.m_othersDemandAgeMs =
      std::max(sum.m_othersDemandAgeMs, counters.m_othersDemandAgeMs);
    sum.m_isolatedQueues =
      std::max(sum.m_isolatedQueues, counters.m_isolatedQueues);
    sum.m_open += counters.m_open;
    sum.m_waiting += counters.m_waiting;
  }
  return sum;
}

network::TransportCounters
ShardSet::TransportCounters() const
{
  network::TransportCounters sum;
  for (const std::unique_ptr<EntryShard>& shard : m_shards) {
    const network::TransportCounters counters = shard->Transport().Counters();
    sum.m_messagesSent += counters.m_messagesSent;
    sum.m_messagesReceived += counters.m_messagesReceived;
    sum.m_bytesSent += counters.m_bytesSent;
    sum.m_bytesReceived += counters.m_bytesReceived;
    for (const auto& [type, bytes] : counters.m_bytesSentByType) {
      sum.m_bytesSentByType[type] += bytes;
    }
  }
  return sum;
}

bool
ShardSet::Idle() const
{
  return std::all_of(
    m_shards.begin(),
    m_shards.end(),
    [](const std::unique_ptr<EntryShard>& aShard) { return aShard->Idle(); });
}

} // namespace mulberrysail::daemon
