#include "network/internal/messagelinks.h"

#include <algorithm>

namespace mulberrysail::network {

bool
MessageLinks::RecordReceived(const core::ProcessId& aPeer,
                             const MessageLink& aLink,
                             core::Instant aNow)
{
  const auto known = m_owners.find(aLink);
  if (known != m_owners.end()) {
    if (known->second.m_peer == aPeer) {
      known->second.m_lastReceivedAt = aNow;
      return false;
    }
    Remove(aLink);
  }
  m_owners.emplace(aLink, Owner{ aPeer, aNow });
  m_links[aPeer].push_back(aLink);
  return true;
}

std::optional<core::ProcessId>
MessageLinks::Remove(const MessageLink& aLink)
{
  const auto owner = m_owners.find(aLink);
  if (owner == m_owners.end()) {
    return std::nullopt;
  }
  core::ProcessId peer = std::move(owner->second.m_peer);
  m_owners.erase(owner);
  const auto links = m_links.find(peer);
  const bool wasInUse = links->second.front() == aLink;
  std::erase(links->second, aLink);
  if (links->second.empty()) {
    m_links.erase(links);
    return std::nullopt;
  }
  return wasInUse ? std::optional(std::move(peer)) : std::nullopt;
}

void
MessageLinks::RemoveIdle(core::Instant aBefore)
{
  std::vector<MessageLink> idle;
  for (const auto& [link, owner] : m_owners) {
    if (std::holds_alternative<IncomingLink>(link) &&
        owner.m_lastReceivedAt < aBefore) {
      idle.push_back(link);
    }
  }
  for (const MessageLink& link : idle) {
    Remove(link);
  }
}

const MessageLink*
MessageLinks::Find(const core::ProcessId& aPeer) const
{
  const auto links = m_links.find(aPeer);
  return links == m_links.end() ? nullptr : &links->second.front();
}

} // namespace mulberrysail::network
