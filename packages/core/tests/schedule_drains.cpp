#include "core/tests/schedule_drains.h"

#include <algorithm>

namespace mulberrysail::core {

const ZoneDrains&
ScheduleDrains::Toggle(const std::string& aZone)
{
  ++m_store.m_revision;
  if (m_drainedAt.erase(aZone) == 0) {
    m_drainedAt[aZone] = m_store.m_revision;
  }
  m_store.m_zones.clear();
  for (const auto& [zone, revision] : m_drainedAt) {
    m_store.m_zones.push_back(zone);
  }
  return m_store;
}

void
ScheduleDrains::Informed(std::size_t aEntry,
                         std::uint64_t aRevision,
                         Instant aNow)
{
  m_notices[aEntry].push_back({ aRevision, aNow });
}

void
ScheduleDrains::EntryBooted(std::size_t aEntry, Instant aNow)
{
  m_notices[aEntry].clear();
  OutUntil("entry" + std::to_string(aEntry), aNow);
}

void
ScheduleDrains::OutUntil(const std::string& aName, Instant aUntil)
{
  Instant& until = m_outUntil[aName];
  until = std::max(until, aUntil);
}

std::string
ScheduleDrains::LinkName(const std::string& aLeft, const std::string& aRight)
{
  return aLeft < aRight ? aLeft + "-" + aRight : aRight + "-" + aLeft;
}

Instant
ScheduleDrains::OutOf(const std::string& aName) const
{
  const auto found = m_outUntil.find(aName);
  return found == m_outUntil.end() ? Instant() : found->second;
}

std::uint64_t
ScheduleDrains::RevisionOf(std::size_t aEntry) const
{
  std::uint64_t newest = 0;
  const auto found = m_notices.find(aEntry);
  if (found != m_notices.end()) {
    for (const Notice& notice : found->second) {
      newest = std::max(newest, notice.m_revision);
    }
  }
  return newest;
}

Instant
ScheduleDrains::KnownSince(std::size_t aAgent,
                           const std::vector<std::size_t>& aEntries) const
{
  const auto drained = m_drainedAt.find(ZoneOf(aAgent));
  if (drained == m_drainedAt.end()) {
    return kNever;
  }
  const std::string agent = "agent" + std::to_string(aAgent);
  Instant known = kNever;
  for (const std::size_t index : aEntries) {
    const auto notices = m_notices.find(index);
    if (notices == m_notices.end()) {
      continue;
    }
    const std::string entry = "entry" + std::to_string(index);
    for (const Notice& notice : notices->second) {
      if (notice.m_revision >= drained->second) {
        const Instant inTouch =
          std::max(OutOf(entry), OutOf(LinkName(entry, agent)));
        known = std::min(known, std::max(notice.m_at, inTouch));
      }
    }
  }
  return std::max(known, OutOf(agent));
}

} // namespace mulberrysail::core
