#include "core/internal/entry/fairsharetracker.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(20);
/** A team whose virtual time is older than this is inactive and not counted. */
constexpr Duration kInactivityTimeout = std::chrono::seconds(1);

} // namespace

void
FairShareTracker::RefreshActiveTeams(Instant aNow)
{
  std::erase_if(m_shares, [aNow](const auto& aShare) {
    return aShare.second.m_virtualTime + kInactivityTimeout < aNow;
  });
  m_activeWeight = 0;
  m_maxVirtualTime = aNow;
  for (const auto& [name, share] : m_shares) {
    m_activeWeight += share.m_weight;
    m_maxVirtualTime = std::max(m_maxVirtualTime, share.m_virtualTime);
  }
  m_refreshAt = aNow + kRefreshInterval;
}

Duration
FairShareTracker::Charge(Instant aNow,
                         std::string_view aTeam,
                         std::uint32_t aWeight,
                         Duration aWork)
{
  auto found = m_shares.find(aTeam);
  const bool isNew = found == m_shares.end();
  if (isNew) {
    found = m_shares.emplace(std::string(aTeam), TeamShare{ aNow, 1 }).first;
  }
  TeamShare& share = found->second;
  share.m_weight = std::max(aWeight, 1U);
  share.m_virtualTime = std::max(share.m_virtualTime, aNow);
  if (isNew || aNow >= m_refreshAt) {
    RefreshActiveTeams(aNow);
  }
  const Duration lag = Lag(aNow, aTeam);
  const double advance =
    static_cast<double>(aWork.count()) * m_activeWeight / share.m_weight;
  share.m_virtualTime += Duration(static_cast<Duration::rep>(advance));
  m_maxVirtualTime = std::max(m_maxVirtualTime, share.m_virtualTime);
  return lag;
}

Duration
FairShareTracker::Lag(Instant aNow, std::string_view aTeam) const
{
  const auto found = m_shares.find(aTeam);
  const Instant own = found == m_shares.end()
                        ? aNow
                        : std::max(found->second.m_virtualTime, aNow);
  return std::max(m_maxVirtualTime - own, Duration::zero());
}

} // namespace mulberrysail::core
