#pragma once

#include "core/internal/entry/runtimemodel.h"
#include "core/types/time.h"

#include <cstdint>
#include <string_view>

namespace mulberrysail::core {

/** How an agent's tasks run compared with the mean of all agents. */
enum class SpeedClass : std::uint8_t
{
  Normal,
  Fast,
  Slow,
};

/** @return the name of @p aClass for logs. */
std::string_view
SpeedClassName(SpeedClass aClass);

/**
 * @param aBefore the agent's present class, which is kept until the slowdown
 * has clearly left it.
 * @return the class of an agent with @p aSlowdown.
 */
SpeedClass
ClassifySpeed(double aSlowdown, SpeedClass aBefore);

/**
 * The speeds at which the agents of an entry run tasks, relative to their mean.
 *
 * Expected run times and slowdowns are learned from the same runs, so a common
 * factor could move between them without limit. Therefore a slowdown is
 * relative to the mean logarithm of all agents, weighted by their confidence:
 * if all agents are equally slow, each has the slowdown 1 and the expected run
 * times are longer.
 */
class TaskSpeeds
{
public:
  /** Removes all agents. */
  void Clear();

  /** Includes an agent in the mean. */
  void Add(const SlowdownModel& aAgent);

  /** @return factor by which runs on @p aAgent last longer than on an agent of
   * mean speed; 1 if nothing is known of it. */
  double SlowdownOf(const SlowdownModel& aAgent) const;

  /**
   * Adds a run on an agent that was included with Add.
   * @param aExpected expected run time on an agent of mean speed.
   * @return whether the run was used; it is ignored if it lasted so much longer
   * than expected that the task is long rather than the agent slow.
   */
  bool Learn(SlowdownModel& aAgent, Duration aExpected, Duration aActual);

private:
  /** Sum of the mean logarithms, each multiplied by its confidence. */
  double m_weightedLogs = 0;
  double m_confidences = 0;
};

} // namespace mulberrysail::core
