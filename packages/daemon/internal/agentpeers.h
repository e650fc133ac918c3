#pragma once

#include "daemon/internal/agenthost.h"
#include "daemon/internal/peerdialer.h"
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
  /** @param aAlways entries that are dialled whatever the store says. */
  AgentPeers(AgentHost& aHost, std::vector<std::string> aAlways);

  /** Begins to dial, and to watch the store if there is one. */
  void Start(StoreLink* aStoreLink);
  void Stop();

private:
  void OnEntries(std::vector<store::EntryRecord> aEntries);
  void Dial();

  AgentHost& m_host;
  StoreLink* m_storeLink = nullptr;
  std::mutex m_mutex;
  std::vector<store::EntryRecord> m_listed;
  PeerDialer m_dialer;
  std::shared_ptr<store::IEntryDirectory> m_directory;
};

} // namespace mulberrysail::daemon
