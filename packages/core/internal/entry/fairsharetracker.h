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
class FairShareTracker
{
public:
  /**
   * Books work for a team.
   * @param aWork expected run time divided by the slots of the pool.
   * @return by how much the team is behind the one that is furthest ahead.
   */
  Duration Charge(Instant aNow,
                  std::string_view aTeam,
                  std::uint32_t aWeight,
                  Duration aWork);

  /** @return by how much the team is behind now, without booking. */
  Duration Lag(Instant aNow, std::string_view aTeam) const;

private:
  struct TeamShare
  {
    Instant m_virtualTime;
    double m_weight = 1;
  };

  void Refresh(Instant aNow);

  std::map<std::string, TeamShare, std::less<>> m_shares;
  /** Sum of the weights, and the latest instant, of the teams that are active;
   * not computed anew for every request. */
  double m_activeWeight = 0;
  Instant m_maxVirtualTime;
  Instant m_refreshAt;
};

} // namespace mulberrysail::core
