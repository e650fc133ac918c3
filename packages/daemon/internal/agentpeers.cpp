#include "daemon/internal/agentpeers.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

AgentPeers::AgentPeers(AgentHost& aHost, std::vector<std::string> aAlways)
  : m_host(aHost)
  , m_dialer(std::move(aAlways))
{
}

void
AgentPeers::Start(PlatformLink* aPlatform)
{
  Dial();
  m_platform = aPlatform;
  if (m_platform == nullptr) {
    return;
  }
  platform::DirectoryOptions options;
  options.m_seed = static_cast<std::uint32_t>(MakeSeed());
  m_directory = platform::StartEntryDirectory(
    m_platform->Store(),
    m_platform->Timer(),
    options,
    [weak = weak_from_this()](std::vector<platform::EntryRecord> aEntries) {
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
AgentPeers::OnEntries(std::vector<platform::EntryRecord> aEntries)
{
  core::PeersChanged peers{ IdsOfOthers(aEntries, {}) };
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listed = std::move(aEntries);
  }
  m_host.Handle(std::move(peers));
  Dial();
  m_platform->Timer().After(PeerDialer::kLinger, [weak = weak_from_this()] {
    if (const std::shared_ptr<AgentPeers> self = weak.lock()) {
      self->Dial();
    }
  });
}

void
AgentPeers::Dial()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_host.Transport().SetPeers(m_dialer.Update(Now(), m_listed));
}

} // namespace mulberrysail::daemon
