#include "core/internal/entry/runtimemodel.h"

#include <algorithm>
#include <cmath>

namespace mulberrysail::core {

namespace {

/** From this number of samples on, the newest sample has the weight 1 / window
 * in the moving averages. */
constexpr double kServiceWindow = 400;
constexpr double kSlowdownWindow = 30;
/** Samples required before the regression is used. */
constexpr double kServiceMinimum = 20;
/** Number of samples at which the learned slowdown has half its full weight. */
constexpr double kSlowdownPrior = 4;
constexpr double kMaxSlowdown = 32;
/** Bounds the effect of a few very long runs on the mean run time. */
constexpr double kMaxMeanFactor = 4;
constexpr Duration kShortestRun{ 100 };
constexpr Duration kLongestRun = std::chrono::minutes(10);

double
LogOf(Duration aRun)
{
  return std::log(static_cast<double>(std::max(aRun, kShortestRun).count()));
}

} // namespace

Duration
RunTimeModel::Estimate(Duration aDeclared) const
{
  if (!IsLearned()) {
    return std::clamp(aDeclared, kShortestRun, kLongestRun);
  }
  const double slope =
    m_varX > 1e-9 ? std::clamp(m_covXY / m_varX, 0.0, 1.0) : 0.0;
  const double expected = m_meanY + slope * (LogOf(aDeclared) - m_meanX);
  const Duration run{ static_cast<Duration::rep>(std::exp(expected)) };
  return std::clamp(run, kShortestRun, kLongestRun);
}

bool
RunTimeModel::IsLearned() const
{
  return m_weight >= kServiceMinimum;
}

double
RunTimeModel::MeanFactor() const
{
  if (m_ratioWeight < kServiceMinimum) {
    return 1;
  }
  return std::clamp(
    m_meanRatio / std::exp(m_meanLogRatio), 1.0, kMaxMeanFactor);
}

void
RunTimeModel::LearnRatio(Duration aExpected, Duration aActual)
{
  const double logRatio = LogOf(aActual) - LogOf(aExpected);
  m_ratioWeight = std::min(m_ratioWeight + 1, kServiceWindow);
  m_meanRatio += (std::exp(logRatio) - m_meanRatio) / m_ratioWeight;
  m_meanLogRatio += (logRatio - m_meanLogRatio) / m_ratioWeight;
}

void
RunTimeModel::Learn(Duration aDeclared, Duration aActual)
{
  // Ratios to declared run times would widen the spread by the error of the
  // declarations.
  if (IsLearned()) {
    LearnRatio(Estimate(aDeclared), aActual);
  }
  const double x = LogOf(aDeclared);
  const double y = LogOf(aActual);
  m_weight = std::min(m_weight + 1, kServiceWindow);
  const double step = 1 / m_weight;
  const double deltaX = x - m_meanX;
  m_meanX += step * deltaX;
  m_meanY += step * (y - m_meanY);
  m_varX += step * (deltaX * (x - m_meanX) - m_varX);
  m_covXY += step * (deltaX * (y - m_meanY) - m_covXY);
}

double
SlowdownModel::SlowdownFactor() const
{
  return std::clamp(
    std::exp(Confidence() * m_meanLog), 1 / kMaxSlowdown, kMaxSlowdown);
}

double
SlowdownModel::Confidence() const
{
  return m_weight / (m_weight + kSlowdownPrior);
}

void
SlowdownModel::Learn(Duration aExpected, Duration aActual)
{
  m_weight = std::min(m_weight + 1, kSlowdownWindow);
  m_meanLog += (LogOf(aActual) - LogOf(aExpected) - m_meanLog) / m_weight;
}

} // namespace mulberrysail::core
