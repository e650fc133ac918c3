#pragma once

#include "core/types/time.h"

namespace mulberrysail::core {

/**
 * Learns run times of one service from declared ones, by a regression of the
 * logarithms that forgets: declarations that are far off weigh little, those
 * that are right are believed.
 */
class RunTimeModel
{
public:
  /** @return what to expect of work declared to run @p aDeclared. */
  Duration Estimate(Duration aDeclared) const;

  /** Takes in that work declared so ran for @p aActual. */
  void Learn(Duration aDeclared, Duration aActual);

private:
  double m_weight = 0;
  double m_meanX = 0;
  double m_meanY = 0;
  double m_varX = 0;
  double m_covXY = 0;
};

/**
 * Learns by which factor one agent's runs last longer than expected. Believed
 * by degrees as samples come in.
 */
class SpeedModel
{
public:
  /** @return 1 for an agent of normal speed, 4 if it is four times slower. */
  double SlowdownFactor() const;

  void Learn(Duration aExpected, Duration aActual);

private:
  double m_weight = 0;
  double m_meanLog = 0;
};

} // namespace mulberrysail::core
