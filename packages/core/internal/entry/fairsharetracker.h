#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/**
 * Tracks the weighted fair shares of teams in a pool. Each team has a virtual
 * time up to which its share is used. A team that submits less work than
 * another lags behind it, and is preferred by that lag.
 */
class FairShareTracker
{
public:
  /**
   * Charges work to a team.
   * @param aWork expected run time divided by the slots of the pool.
   * @return the lag of the team, before the charge, behind the team with the
   * latest virtual time.
   */
  Duration Charge(Instant aNow,
                  std::string_view aTeam,
                  std::uint32_t aWeight,
                  Duration aWork);

  /** @return the current lag of the team, without a charge. */
  Duration Lag(Instant aNow, std::string_view aTeam) const;

private:
  struct TeamShare
  {
    /** The instant up to which the team has used its share. */
    Instant m_virtualTime;
    double m_weight = 1;
  };

  /** Removes inactive teams and computes the cached values. */
  void RefreshActiveTeams(Instant aNow);

  std::map<std::string, TeamShare, std::less<>> m_shares;
  /** Sum of the weights of the active teams. Cached, since computing it for
   * every request would be costly. */
  double m_activeWeight = 0;
  /** Latest virtual time of the active teams; cached for the same reason. */
  Instant m_maxVirtualTime;
  /** When the cached values are next computed. */
  Instant m_refreshAt;
};

} // namespace mulberrysail::core
