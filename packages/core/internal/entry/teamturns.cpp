#include "core/internal/entry/teamturns.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(20);
/** A team that asked for nothing for so long is not counted. */
constexpr Duration kActiveFor = std::chrono::seconds(1);

} // namespace

void
TeamTurns::Refresh(Instant aNow)
{
  std::erase_if(m_turns, [aNow](const auto& aTurn) {
    return aTurn.second.m_usedUpTo + kActiveFor < aNow;
  });
  m_activeWeight = 0;
  m_furthest = aNow;
  for (const auto& [name, turn] : m_turns) {
    m_activeWeight += turn.m_weight;
    m_furthest = std::max(m_furthest, turn.m_usedUpTo);
  }
  m_refreshAt = aNow + kRefreshInterval;
}

Duration
TeamTurns::Book(Instant aNow,
                std::string_view aTeam,
                std::uint32_t aWeight,
                Duration aWork)
{
  auto found = m_turns.find(aTeam);
  const bool isNew = found == m_turns.end();
  if (isNew) {
    found = m_turns.emplace(std::string(aTeam), Turn{ aNow, 1 }).first;
  }
  Turn& turn = found->second;
  turn.m_weight = std::max(aWeight, 1U);
  turn.m_usedUpTo = std::max(turn.m_usedUpTo, aNow);
  if (isNew || aNow >= m_refreshAt) {
    Refresh(aNow);
  }
  const Duration behind = Behind(aNow, aTeam);
  const double pace =
    static_cast<double>(aWork.count()) * m_activeWeight / turn.m_weight;
  turn.m_usedUpTo += Duration(static_cast<Duration::rep>(pace));
  m_furthest = std::max(m_furthest, turn.m_usedUpTo);
  return behind;
}

Duration
TeamTurns::Behind(Instant aNow, std::string_view aTeam) const
{
  const auto found = m_turns.find(aTeam);
  const Instant own =
    found == m_turns.end() ? aNow : std::max(found->second.m_usedUpTo, aNow);
  return std::max(m_furthest - own, Duration::zero());
}

} // namespace mulberrysail::core
