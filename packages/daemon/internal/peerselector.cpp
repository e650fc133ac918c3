#include "daemon/internal/peerselector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrysail::daemon {

PeerSelector::PeerSelector(std::vector<std::string> aStaticUrls)
  : m_staticUrls(std::move(aStaticUrls))
{
}

std::vector<network::PeerAddress>
PeerSelector::Update(core::Instant aNow,
                     const std::vector<store::EntryRecord>& aListed)
{
  std::erase_if(m_expiry,
                [aNow](const auto& aPeer) { return aPeer.second <= aNow; });
  for (auto& [url, expiry] : m_expiry) {
    expiry = std::min(expiry, aNow + kUnlistedRetention);
  }
  for (const store::EntryRecord& entry : aListed) {
    m_expiry[entry.m_messageUrl] = core::kNever;
  }
  for (const std::string& url : m_staticUrls) {
    m_expiry[url] = core::kNever;
  }
  std::vector<network::PeerAddress> peers;
  for (const auto& [url, expiry] : m_expiry) {
    peers.push_back({ url });
  }
  return peers;
}

std::vector<store::EntryRecord>
PeersToConnect(const std::vector<store::EntryRecord>& aListed,
               const core::ProcessId& aSelf)
{
  std::vector<store::EntryRecord> peers;
  std::copy_if(aListed.begin(),
               aListed.end(),
               std::back_inserter(peers),
               [&](const store::EntryRecord& aEntry) {
                 return aEntry.m_id.m_name > aSelf.m_name;
               });
  return peers;
}

std::vector<core::ProcessId>
IdsExceptSelf(const std::vector<store::EntryRecord>& aListed,
              std::string_view aSelf)
{
  std::vector<core::ProcessId> ids;
  for (const store::EntryRecord& entry : aListed) {
    const std::string& name = entry.m_id.m_name;
    if (!name.empty() && name != aSelf) {
      ids.push_back(entry.m_id);
    }
  }
  return ids;
}

std::function<void(const std::string&)>
MakeUnreadableEntryHook(telemetry::IEventLog& aEvents)
{
  return [&aEvents](const std::string& aDetail) {
    aEvents.Record(core::EventCode::EntryUnreadable,
                   core::EventDetail().Add("cause", aDetail));
  };
}

} // namespace mulberrysail::daemon
