#include "core/internal/entry/taskspeeds.h"

#include <cmath>

namespace mulberrysail::core {

namespace {

/** Runs that last longer than expected on their agent by more than this factor
 * are not used. Some tasks run 7 times as long as declared on any agent, while
 * agents differ by less than 3 times. */
constexpr double kMaxRatio = 4;

/** An agent counts as slow from this slowdown on, and as fast from its inverse
 * on. */
constexpr double kSlowFrom = 1.2;
/** A slow agent counts as normal again below this slowdown, so that an agent
 * near the limit does not cause an event with each run. */
constexpr double kNormalBelow = 1.1;

double
Micros(Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

} // namespace

std::string_view
SpeedClassName(SpeedClass aClass)
{
  switch (aClass) {
    case SpeedClass::Normal:
      return "normal";
    case SpeedClass::Fast:
      return "fast";
    case SpeedClass::Slow:
      return "slow";
  }
  return "";
}

SpeedClass
ClassifySpeed(double aSlowdown, SpeedClass aBefore)
{
  if (aSlowdown > (aBefore == SpeedClass::Slow ? kNormalBelow : kSlowFrom)) {
    return SpeedClass::Slow;
  }
  if (aSlowdown <
      1 / (aBefore == SpeedClass::Fast ? kNormalBelow : kSlowFrom)) {
    return SpeedClass::Fast;
  }
  return SpeedClass::Normal;
}

void
TaskSpeeds::Clear()
{
  m_weightedLogs = 0;
  m_confidences = 0;
}

void
TaskSpeeds::Add(const SlowdownModel& aAgent)
{
  m_weightedLogs += aAgent.Confidence() * aAgent.MeanLog();
  m_confidences += aAgent.Confidence();
}

double
TaskSpeeds::SlowdownOf(const SlowdownModel& aAgent) const
{
  if (m_confidences <= 0) {
    return 1;
  }
  const double mean = m_weightedLogs / m_confidences;
  return std::exp(aAgent.Confidence() * (aAgent.MeanLog() - mean));
}

bool
TaskSpeeds::Learn(SlowdownModel& aAgent, Duration aExpected, Duration aActual)
{
  const double expected = Micros(aExpected) * SlowdownOf(aAgent);
  if (Micros(aActual) > kMaxRatio * expected) {
    return false;
  }
  m_weightedLogs -= aAgent.Confidence() * aAgent.MeanLog();
  m_confidences -= aAgent.Confidence();
  aAgent.Learn(aExpected, aActual);
  Add(aAgent);
  return true;
}

} // namespace mulberrysail::core
