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
 * The shards of an entry. To agents and other entries each shard is an entry
 * of its own, with its own name and port, as agents count the offers of each
 * entry apart. All load state of one service is in one shard.
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

  /** @param aSelf name and life of the whole entry. */
  ShardSet(const core::ProcessId& aSelf,
           std::size_t aShards,
           telemetry::IEventLog& aEvents,
           const CoreFactory& aMakeCore);
  ~ShardSet();
  ShardSet(const ShardSet&) = delete;
  ShardSet& operator=(const ShardSet&) = delete;

  /** Starts the transports of all shards. */
  std::optional<core::Error> Start(const TransportFactory& aMakeTransport);

  /** Ends the timer and the transports. */
  void Stop();

  std::size_t Size() const { return m_shards.size(); }
  EntryShard& At(std::size_t aShard) { return *m_shards.at(aShard); }
  const EntryShard& At(std::size_t aShard) const
  {
    return *m_shards.at(aShard);
  }
  /** @return the name of a shard towards other processes. */
  const core::ProcessId& IdOf(std::size_t aShard) const
  {
    return m_ids.at(aShard);
  }

  /** @return the shard that takes requests of @p aName. */
  EntryShard& ShardForName(std::string_view aName) const;
  /** @return the shard that takes all jobs, as the workers are one pool. */
  EntryShard& ShardForJobs() { return *m_shards.front(); }
  /** @return the shard that made @p aSubmission, or null. */
  EntryShard* ShardForSubmission(core::SubmissionId aSubmission);

  /** Hands an event to every shard. */
  void Broadcast(const core::EntryEvent& aEvent);

  /** @return the agents that the shards know, each once. */
  std::vector<core::AgentStatus> Agents() const;
  /** @return the sums over the shards. */
  core::EntryCounters Counters() const;
  network::TransportCounters TransportCounters() const;
  bool Idle() const;

private:
  std::vector<core::ProcessId> m_ids;
  std::vector<std::unique_ptr<EntryShard>> m_shards;
  WakeupTimer m_wakeup;
};

} // namespace mulberrysail::daemon
