#pragma once

#include "daemon/internal/entryshard.h"
#include "daemon/internal/wakeuptimer.h"
#include "daemon/settings/settings.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/**
 * The shards of an entry. Each shard appears to agents and other entries as a
 * separate entry with its own name and port, because agents count offers per
 * entry. All requests of one service are handled by one shard, which holds the
 * load state of the service.
 */
class ShardSet
{
public:
  using CoreFactory =
    std::function<std::unique_ptr<core::IEntry>(core::ProcessId aSelf,
                                                std::uint8_t aShard)>;
  using TransportFactory =
    std::function<core::Result<std::unique_ptr<network::IMessageTransport>>(
      core::ProcessId aSelf,
      std::size_t aShard,
      EntryShard& aOwner)>;

  /** @param aSelf the name and incarnation of the whole entry. */
  ShardSet(const core::ProcessId& aSelf,
           std::size_t aShards,
           telemetry::IEventLog& aEvents,
           const CoreFactory& aMakeCore);
  ~ShardSet();
  ShardSet(const ShardSet&) = delete;
  ShardSet& operator=(const ShardSet&) = delete;

  /** Starts the transports of all shards. */
  std::optional<core::Error> Start(const TransportFactory& aMakeTransport);

  /** Stops the timer and the transports. */
  void Stop();

  std::size_t Size() const { return m_shards.size(); }
  EntryShard& At(std::size_t aShard) { return *m_shards.at(aShard); }
  const EntryShard& At(std::size_t aShard) const
  {
    return *m_shards.at(aShard);
  }
  /** @return the id by which other processes know a shard. */
  const core::ProcessId& IdOf(std::size_t aShard) const
  {
    return m_ids.at(aShard);
  }

  /** @return the shard that handles a name: the service of a request, or the
   * job's name for a job of an adapter. */
  EntryShard& ShardForName(std::string_view aName) const;
  /** @return the shard for all jobs of the native interface. One shard handles
   * them, as all services share the workers. */
  EntryShard& ShardForJobs() { return *m_shards.front(); }
  /** @return the shard that created the id @p aSubmission, or null. */
  EntryShard* ShardForSubmission(core::SubmissionId aSubmission);

  /** Passes an event to every shard. */
  void Broadcast(const core::EntryEvent& aEvent);

  /** @return the agents known to any shard, each once, with the sum of its open
   * attempts. */
  std::vector<core::AgentStatus> Agents() const;
  /** @return the newest list of drained zones that any shard knows. */
  core::ZoneDrains Drains() const;
  /** @return the sums over all shards. */
  core::EntryCounters Counters() const;
  network::TransportCounters TransportCounters() const;
  bool Idle() const;

private:
  std::vector<core::ProcessId> m_ids;
  std::vector<std::unique_ptr<EntryShard>> m_shards;
  WakeupTimer m_wakeup;
};

} // namespace mulberrysail::daemon
