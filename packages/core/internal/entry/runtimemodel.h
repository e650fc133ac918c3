#pragma once

#include "core/types/time.h"

namespace mulberrysail::core {

/**
 * Learns the actual run times of a service or queue from the declared ones, by
 * a linear regression of the logarithms with exponential forgetting. If the
 * declarations correlate poorly with actual run times, the estimate relies on
 * the mean; if they are accurate, it follows them.
 */
class RunTimeModel
{
public:
  /** @return the expected run time of work that declares @p aDeclared. */
  Duration Estimate(Duration aDeclared) const;

  /** Adds a sample: work that declared @p aDeclared ran for @p aActual. */
  void Learn(Duration aDeclared, Duration aActual);

private:
  double m_weight = 0;
  double m_meanX = 0;
  double m_meanY = 0;
  double m_varX = 0;
  double m_covXY = 0;
};

/**
 * Learns by which factor the runs of one agent last longer than expected. The
 * learned factor gains weight as samples are added.
 */
class SlowdownModel
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
