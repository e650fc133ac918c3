#include "core/tests/schedule_plan.h"

#include "core/tests/schedule_random.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kDefaultWarmUp = std::chrono::seconds(1);
constexpr Duration kForwardingWarmUp = std::chrono::seconds(3);

/** @return zero in half of all plans, else a number of 1 to @p aMost. */
std::uint32_t
RandomCount(ScheduleRandom& aRandom, std::uint32_t aMost)
{
  return aRandom.Chance(0.5)
           ? 0
           : 1 + static_cast<std::uint32_t>(aRandom.Below(aMost));
}

/** @return zero in half of all plans, else a tenth of @p aMost times 0 to 10.
 */
double
RandomProbability(ScheduleRandom& aRandom, double aMost)
{
  return aRandom.Chance(0.5)
           ? 0
           : aMost * static_cast<double>(aRandom.Below(11)) / 10.0;
}

} // namespace

SchedulePlan
MakeSchedulePlan(std::uint64_t aSeed, Mutation aMutation)
{
  ScheduleRandom random(aSeed ^ 0x5EEDULL);
  SchedulePlan plan;
  plan.m_seed = aSeed;
  plan.m_mutation = aMutation;
  plan.m_entries = 1 + static_cast<std::uint32_t>(random.Below(3));
  plan.m_agents = 1 + static_cast<std::uint32_t>(random.Below(4));
  plan.m_workers = static_cast<std::uint32_t>(random.Below(4));
  plan.m_submissions = 4 + static_cast<std::uint32_t>(random.Below(20));
  plan.m_callerKeys = random.Chance(0.3);
  plan.m_lowMemory = random.Chance(0.1);
  plan.m_lossProbability = RandomProbability(random, 0.1);
  plan.m_duplicationProbability = RandomProbability(random, 0.2);
  plan.m_longDelayProbability = RandomProbability(random, 0.05);
  plan.m_reorders = random.Chance(0.5);
  plan.m_linkCuts = RandomCount(random, 4);
  plan.m_agentCrashes = RandomCount(random, 2);
  plan.m_entryCrashes = RandomCount(random, 1);
  plan.m_pauses = RandomCount(random, 3);
  plan.m_backendCrashes = RandomCount(random, 2);
  plan.m_agentDrains = RandomCount(random, 2);
  plan.m_entryDrains = RandomCount(random, 1);
  plan.m_runFailureProbability = RandomProbability(random, 0.2);
  plan.m_runLossProbability = RandomProbability(random, 0.2);
  plan.m_refusalProbability = RandomProbability(random, 0.2);
  plan.m_failingWorker = random.Chance(0.2);
  plan.m_zoneChanges = RandomCount(random, 5);
  plan.m_forwarding = random.Chance(0.5);
  plan.m_warmUp = plan.m_callerKeys
                    ? kScheduleKeyRetention + std::chrono::seconds(1)
                    : kDefaultWarmUp;
  if (plan.m_forwarding) {
    // Entries accept no forwarded jobs in their first two seconds.
    plan.m_warmUp = std::max(plan.m_warmUp, kForwardingWarmUp);
  }
  return plan;
}

} // namespace mulberrysail::core
