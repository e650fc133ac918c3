#pragma once

#include "daemon/internal/peerselector.h"
#include "daemon/internal/shardset.h"
#include "daemon/internal/storelink.h"
#include "store/ientrydirectory.h"
#include "telemetry/ieventlog.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** Registers the shards of an entry in the store and keeps them connected to
 * the other entries. Must be owned by a shared_ptr: callbacks of the store hold
 * weak references, as they may arrive after the object is destroyed. */
class EntryPeers : public std::enable_shared_from_this<EntryPeers>
{
public:
  EntryPeers(ShardSet& aShards,
             StoreLink& aStoreLink,
             telemetry::IEventLog& aEvents);

  /**
   * Registers the shards and starts to connect.
   * @param aMessageUrls the message URL of each shard.
   * @param aHttpUrl the HTTP URL of the entry.
   * @param aStaticUrls URLs of entries to connect to even if the store does not
   * list them.
   * @param aLease the lease of the registrations.
   */
  void Start(const std::vector<std::string>& aMessageUrls,
             const std::string& aHttpUrl,
             const std::vector<std::string>& aStaticUrls,
             core::Duration aLease);

  /** Deregisters the shards from the store. */
  void Leave();
  void Stop();

private:
  void OnEntries(std::vector<store::EntryRecord> aEntries);
  void UpdateConnections();

  ShardSet& m_shards;
  StoreLink& m_storeLink;
  telemetry::IEventLog& m_events;
  std::mutex m_mutex;
  std::vector<store::EntryRecord> m_listed;
  std::vector<PeerSelector> m_peerSelectors;
  std::vector<std::shared_ptr<store::IEntryDirectory>> m_directories;
};

} // namespace mulberrysail::daemon
