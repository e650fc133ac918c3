#pragma once

#include "daemon/internal/peerselector.h"
#include "daemon/internal/shardset.h"
#include "daemon/internal/storelink.h"
#include "store/ientrydirectory.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** Registers the shards of an entry, and keeps them linked with the other
 * entries. Owned by a shared pointer, as calls of the store may outlast it. */
class EntryPeers : public std::enable_shared_from_this<EntryPeers>
{
public:
  EntryPeers(ShardSet& aShards, StoreLink& aStoreLink);

  /**
   * Registers the shards and begins to dial.
   * @param aMessageUrls where each shard is reached.
   * @param aStaticUrls entries that are dialled whatever the store says.
   * @param aLease of the registrations.
   */
  void Start(const std::vector<std::string>& aMessageUrls,
             const std::string& aHttpUrl,
             const std::vector<std::string>& aStaticUrls,
             core::Duration aLease);

  /** Takes the shards out of the store. */
  void Leave();
  void Stop();

private:
  void OnEntries(std::vector<store::EntryRecord> aEntries);
  void UpdateConnections();

  ShardSet& m_shards;
  StoreLink& m_storeLink;
  std::mutex m_mutex;
  std::vector<store::EntryRecord> m_listed;
  std::vector<PeerSelector> m_peerSelectors;
  std::vector<std::shared_ptr<store::IEntryDirectory>> m_directories;
};

} // namespace mulberrysail::daemon
