#pragma once

#include "daemon/internal/agenthost.h"
#include "daemon/internal/peerselector.h"
#include "daemon/internal/storelink.h"
#include "store/ientrydirectory.h"
#include "telemetry/ieventlog.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** Keeps an agent connected to all entries. Must be owned by a
 * shared_ptr: callbacks of the store hold weak references, as they may arrive
 * after the object is destroyed. */
class AgentPeers : public std::enable_shared_from_this<AgentPeers>
{
public:
  /** @param aStaticUrls URLs of entries to connect to even if the store does
   * not list them. */
  AgentPeers(AgentHost& aHost,
             telemetry::IEventLog& aEvents,
             std::vector<std::string> aStaticUrls);

  /** Starts to connect, and to watch the entries in the store.
   * @param aStoreLink null without a store. */
  void Start(StoreLink* aStoreLink);
  void Stop();

private:
  void OnEntries(std::vector<store::EntryRecord> aEntries);
  void UpdateConnections();

  AgentHost& m_host;
  telemetry::IEventLog& m_events;
  StoreLink* m_storeLink = nullptr;
  std::mutex m_mutex;
  std::vector<store::EntryRecord> m_listed;
  PeerSelector m_peerSelector;
  std::shared_ptr<store::IEntryDirectory> m_directory;
};

} // namespace mulberrysail::daemon
