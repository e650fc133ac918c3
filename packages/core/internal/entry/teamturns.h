#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/**
 * Shares a pool between teams by their weights. Each team has an instant up to
 * which its share is used up; one that asks for less than another falls behind
 * it and is preferred by as much.
 */
class TeamTurns
{
public:
  /**
   * Books work for a team.
   * @param aWork expected run time divided by the slots of the pool.
   * @return by how much the team is behind the one that is furthest ahead.
   */
  Duration Book(Instant aNow,
                std::string_view aTeam,
                std::uint32_t aWeight,
                Duration aWork);

  /** @return by how much the team is behind now, without booking. */
  Duration Behind(Instant aNow, std::string_view aTeam) const;

private:
  struct Turn
  {
    Instant m_usedUpTo;
    double m_weight = 1;
  };

  void Refresh(Instant aNow);

  std::map<std::string, Turn, std::less<>> m_turns;
  /** Sum of the weights, and the latest instant, of the teams that are active;
   * not computed anew for every request. */
  double m_activeWeight = 0;
  Instant m_furthest;
  Instant m_refreshAt;
};

} // namespace mulberrysail::core
