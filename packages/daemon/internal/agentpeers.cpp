#include "daemon/internal/agentpeers.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

AgentPeers::AgentPeers(AgentHost& aHost,
                       telemetry::IEventLog& aEvents,
                       std::vector<std::string> aStaticUrls)
  : m_host(aHost)
  , m_events(aEvents)
  , m_peerSelector(std::move(aStaticUrls))
{
}

void
AgentPeers::Start(StoreLink* aStoreLink)
{
  UpdateConnections();
  m_storeLink = aStoreLink;
  if (m_storeLink == nullptr) {
    return;
  }
  store::DirectoryOptions options;
  options.m_seed = static_cast<std::uint32_t>(MakeRandomSeed());
  options.m_onUnreadable = MakeUnreadableEntryHook(m_events);
  m_directory = store::StartEntryDirectory(
    m_storeLink->Store(),
    m_storeLink->Timer(),
    options,
    [weak = weak_from_this()](std::vector<store::EntryRecord> aEntries) {
      if (const std::shared_ptr<AgentPeers> self = weak.lock()) {
        self->OnEntries(std::move(aEntries));
      }
    });
}

void
AgentPeers::Stop()
{
  if (m_directory) {
    m_directory->Stop();
  }
}

void
AgentPeers::OnEntries(std::vector<store::EntryRecord> aEntries)
{
  core::PeersChanged peers{ IdsExceptSelf(aEntries, {}) };
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listed = std::move(aEntries);
  }
  m_host.Handle(std::move(peers));
  UpdateConnections();
  m_storeLink->Timer().After(
    PeerSelector::kUnlistedRetention, [weak = weak_from_this()] {
      if (const std::shared_ptr<AgentPeers> self = weak.lock()) {
        self->UpdateConnections();
      }
    });
}

void
AgentPeers::UpdateConnections()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_host.Transport().SetPeers(m_peerSelector.Update(Now(), m_listed));
}

} // namespace mulberrysail::daemon
