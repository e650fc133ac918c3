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

  /** @return whether Estimate uses actual run times; before that, it returns
   * the declared ones. */
  bool IsLearned() const;

  /**
   * @return ratio of the arithmetic to the geometric mean of actual over
   * expected run times, at least 1. Estimate returns a typical (geometric mean)
   * run time; the core time that much work takes is greater by this factor.
   */
  double MeanFactor() const;

  /** Adds a sample: work that declared @p aDeclared ran for @p aActual. */
  void Learn(Duration aDeclared, Duration aActual);

private:
  void LearnRatio(Duration aExpected, Duration aActual);

  double m_weight = 0;
  double m_meanX = 0;
  double m_meanY = 0;
  double m_varX = 0;
  double m_covXY = 0;
  /** Samples, mean and mean logarithm of actual over expected run times. */
  double m_ratioWeight = 0;
  double m_meanRatio = 0;
  double m_meanLogRatio = 0;
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

  /** @return the weight of the learned factor: 0 without samples, below 1. */
  double Confidence() const;

  /** @return moving average of the logarithm of actual over expected run times;
   * 0 without samples. */
  double MeanLog() const { return m_meanLog; }

private:
  double m_weight = 0;
  double m_meanLog = 0;
};

} // namespace mulberrysail::core
