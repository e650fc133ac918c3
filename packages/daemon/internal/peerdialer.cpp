#include "daemon/internal/peerdialer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrysail::daemon {

PeerDialer::PeerDialer(std::vector<std::string> aAlways)
  : m_always(std::move(aAlways))
{
}

std::vector<network::PeerAddress>
PeerDialer::Update(core::Instant aNow,
                   const std::vector<store::EntryRecord>& aListed)
{
  std::erase_if(m_until,
                [aNow](const auto& aPeer) { return aPeer.second <= aNow; });
  for (auto& [url, until] : m_until) {
    until = std::min(until, aNow + kLinger);
  }
  for (const store::EntryRecord& entry : aListed) {
    m_until[entry.m_messageUrl] = core::kNever;
  }
  for (const std::string& url : m_always) {
    m_until[url] = core::kNever;
  }
  std::vector<network::PeerAddress> peers;
  for (const auto& [url, until] : m_until) {
    peers.push_back({ url });
  }
  return peers;
}

std::vector<store::EntryRecord>
PeersToDial(const std::vector<store::EntryRecord>& aListed,
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
IdsOfOthers(const std::vector<store::EntryRecord>& aListed,
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

} // namespace mulberrysail::daemon
