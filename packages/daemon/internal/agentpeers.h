#pragma once

#include "daemon/internal/agenthost.h"
#include "daemon/internal/peerselector.h"
#include "daemon/internal/storelink.h"
#include "store/ientrydirectory.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** Keeps an agent linked with all entries. Owned by a shared pointer, as calls
 * of the store may outlast it. */
class AgentPeers : public std::enable_shared_from_this<AgentPeers>
{
public:
  /** @param aStaticUrls entries that are dialled whatever the store says. */
  AgentPeers(AgentHost& aHost, std::vector<std::string> aStaticUrls);

  /** Begins to dial, and to watch the store if there is one. */
  void Start(StoreLink* aStoreLink);
  void Stop();

private:
  void OnEntries(std::vector<store::EntryRecord> aEntries);
  void UpdateConnections();

  AgentHost& m_host;
  StoreLink* m_storeLink = nullptr;
  std::mutex m_mutex;
  std::vector<store::EntryRecord> m_listed;
  PeerSelector m_peerSelector;
  std::shared_ptr<store::IEntryDirectory> m_directory;
};

} // namespace mulberrysail::daemon
