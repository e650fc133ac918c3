#include "store/internal/zonedraintracker.h"

#include "input/boundedjson.h"
#include "input/textform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace mulberrysail::store {

namespace {

using nlohmann::json;

/** The year 2100, as a Unix time; a later one is taken for malformed. */
constexpr std::int64_t kMaxUnixMs = 4'102'444'800'000;

} // namespace

ZoneDrainTracker::ZoneDrainTracker(std::string aPrefix,
                                   DrainValueFormat aFormat,
                                   UnreadableValues::Hook aOnUnreadable)
  : m_prefix(std::move(aPrefix))
  , m_format(aFormat)
  , m_unreadable(std::move(aOnUnreadable))
{
}

bool
ZoneDrainTracker::ApplyRead(const StoreRead& aRead)
{
  // A member of the store that lags behind answers with an older state; the
  // watch that follows repeats the changes since then.
  if (m_revision != 0 && aRead.m_revision <= m_revision) {
    return false;
  }
  m_revision = aRead.m_revision;
  m_newestRead = 0;
  m_zones.clear();
  for (const StoredValue& value : aRead.m_values) {
    if (value.m_key.starts_with(m_prefix)) {
      m_newestRead = std::max(m_newestRead, value.m_modRevision);
      ApplyDrainKey(value);
    }
  }
  return UpdateList();
}

bool
ZoneDrainTracker::ApplyChange(const StoredValue& aChange)
{
  if (m_revision == 0 || aChange.m_changeRevision <= m_revision) {
    return false;
  }
  if (aChange.m_key.starts_with(m_prefix)) {
    ApplyDrainKey(aChange);
  }
  if (aChange.m_moreAtRevision) {
    return false;
  }
  m_revision = aChange.m_changeRevision;
  return UpdateList();
}

std::map<std::string, std::chrono::milliseconds>
ZoneDrainTracker::Times() const
{
  std::map<std::string, std::chrono::milliseconds> times;
  for (const auto& [zone, since] : m_zones) {
    if (since) {
      times.emplace(zone, *since);
    }
  }
  return times;
}

void
ZoneDrainTracker::ApplyDrainKey(const StoredValue& aValue)
{
  const std::string zone = aValue.m_key.substr(m_prefix.size());
  if (aValue.m_modRevision == 0) {
    m_zones.erase(zone);
    m_unreadable.Remove(aValue.m_key);
    return;
  }
  if (!input::HasForm(zone, input::TextForm::Name)) {
    m_unreadable.Report(aValue,
                        "expected a zone of " +
                          input::DescribeForm(input::TextForm::Name) +
                          " in the key");
    return;
  }
  m_zones[zone] = ParseSince(aValue);
}

ZoneDrainTracker::Since
ZoneDrainTracker::ParseSince(const StoredValue& aValue)
{
  if (m_format == DrainValueFormat::Any) {
    return std::nullopt;
  }
  const input::JsonResult parsed = input::ParseJson(aValue.m_value);
  const json value = parsed.has_error() ? json() : parsed.value();
  const auto since = value.is_object() ? value.find("since_ms") : value.end();
  if (since == value.end() || !since->is_number_unsigned() ||
      *since > kMaxUnixMs) {
    m_unreadable.Report(aValue,
                        "expected {\"since_ms\": <Unix time>}; the zone is "
                        "drained since an unknown time");
    return std::nullopt;
  }
  return std::chrono::milliseconds(since->get<std::int64_t>());
}

bool
ZoneDrainTracker::UpdateList()
{
  if (m_revision < m_newestRead) {
    return false;
  }
  core::ZoneDrains drains;
  drains.m_revision = static_cast<std::uint64_t>(m_revision);
  for (const auto& [zone, since] : m_zones) {
    drains.m_zones.push_back(zone);
  }
  if (m_drains && m_drains->m_zones == drains.m_zones) {
    return false;
  }
  m_drains = std::move(drains);
  return true;
}

} // namespace mulberrysail::store
