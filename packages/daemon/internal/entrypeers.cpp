#include "daemon/internal/entrypeers.h"

#include "daemon/internal/clock.h"
#include "daemon/internal/peerselector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrysail::daemon {

namespace {

/** @return @p aUrls without @p aOwn. */
std::vector<std::string>
ExcludeUrl(const std::vector<std::string>& aUrls, const std::string& aOwn)
{
  std::vector<std::string> others;
  std::copy_if(aUrls.begin(),
               aUrls.end(),
               std::back_inserter(others),
               [&](const std::string& aUrl) { return aUrl != aOwn; });
  return others;
}

} // namespace

EntryPeers::EntryPeers(ShardSet& aShards,
                       StoreLink& aStoreLink,
                       telemetry::IEventLog& aEvents)
  : m_shards(aShards)
  , m_storeLink(aStoreLink)
  , m_events(aEvents)
{
}

void
EntryPeers::Start(const std::vector<std::string>& aMessageUrls,
                  const std::string& aHttpUrl,
                  const std::vector<std::string>& aStaticUrls,
                  core::Duration aLease)
{
  for (const std::string& url : aMessageUrls) {
    m_peerSelectors.emplace_back(ExcludeUrl(aStaticUrls, url));
  }
  UpdateConnections();
  for (std::size_t i = 0; i < m_shards.Size(); ++i) {
    store::DirectoryOptions options;
    options.m_self = { m_shards.IdOf(i), aMessageUrls[i], aHttpUrl };
    options.m_leaseTtl = std::chrono::ceil<std::chrono::seconds>(aLease);
    options.m_seed = static_cast<std::uint32_t>(MakeRandomSeed());
    // The watch of the first shard serves all shards.
    store::EntriesHook hook;
    if (i == 0) {
      hook = [weak =
                weak_from_this()](std::vector<store::EntryRecord> aEntries) {
        if (const std::shared_ptr<EntryPeers> self = weak.lock()) {
          self->OnEntries(std::move(aEntries));
        }
      };
      options.m_onUnreadable = MakeUnreadableEntryHook(m_events);
    } else {
      hook = [](const std::vector<store::EntryRecord>&) {};
    }
    m_directories.push_back(store::StartEntryDirectory(m_storeLink.Store(),
                                                       m_storeLink.Timer(),
                                                       std::move(options),
                                                       std::move(hook)));
  }
}

void
EntryPeers::Leave()
{
  for (const std::shared_ptr<store::IEntryDirectory>& directory :
       m_directories) {
    directory->Leave();
  }
}

void
EntryPeers::Stop()
{
  for (const std::shared_ptr<store::IEntryDirectory>& directory :
       m_directories) {
    directory->Stop();
  }
}

void
EntryPeers::OnEntries(std::vector<store::EntryRecord> aEntries)
{
  for (std::size_t i = 0; i < m_shards.Size(); ++i) {
    m_shards.At(i).Handle(
      core::PeersChanged{ IdsExceptSelf(aEntries, m_shards.IdOf(i).m_name) });
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listed = std::move(aEntries);
  }
  UpdateConnections();
  m_storeLink.Timer().After(
    PeerSelector::kUnlistedRetention, [weak = weak_from_this()] {
      if (const std::shared_ptr<EntryPeers> self = weak.lock()) {
        self->UpdateConnections();
      }
    });
}

void
EntryPeers::UpdateConnections()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (std::size_t i = 0; i < m_peerSelectors.size(); ++i) {
    m_shards.At(i).Transport().SetPeers(m_peerSelectors[i].Update(
      Now(), PeersToConnect(m_listed, m_shards.IdOf(i))));
  }
}

} // namespace mulberrysail::daemon
