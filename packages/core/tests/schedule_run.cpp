#include "core/tests/schedule_run.h"

#include "core/tests/schedule_callers.h"
#include "core/tests/schedule_world.h"

namespace mulberrysail::core {

namespace {

/** After the last fault: late messages, deadlines, longest runs, leases. */
constexpr Duration kSettling = std::chrono::seconds(24);
constexpr std::uint32_t kMaxPatches = 3;

void
PlanTimes(ScheduleWorld& aWorld,
          Instant aFrom,
          std::uint32_t aTimes,
          void (ScheduleWorld::*aWhat)())
{
  for (std::uint32_t i = 0; i < aTimes; ++i) {
    const Instant when =
      aFrom + aWorld.Random().Between(Duration(0), kScheduleActive);
    aWorld.Clock().At(when, [&aWorld, aWhat] { (aWorld.*aWhat)(); });
  }
}

void
PlanFaults(ScheduleWorld& aWorld, const SchedulePlan& aPlan, Instant aFrom)
{
  PlanTimes(aWorld, aFrom, aPlan.m_linkCuts, &ScheduleWorld::CutLink);
  PlanTimes(aWorld, aFrom, aPlan.m_agentCrashes, &ScheduleWorld::CrashAgent);
  PlanTimes(aWorld, aFrom, aPlan.m_entryCrashes, &ScheduleWorld::CrashEntry);
  PlanTimes(aWorld, aFrom, aPlan.m_pauses, &ScheduleWorld::Pause);
  PlanTimes(
    aWorld, aFrom, aPlan.m_backendCrashes, &ScheduleWorld::CrashBackend);
  PlanTimes(aWorld, aFrom, aPlan.m_agentDrains, &ScheduleWorld::DrainAgent);
  PlanTimes(aWorld, aFrom, aPlan.m_entryDrains, &ScheduleWorld::DrainEntry);
  PlanTimes(aWorld,
            aFrom,
            static_cast<std::uint32_t>(aWorld.Random().Below(kMaxPatches + 1)),
            &ScheduleWorld::PatchConfig);
}

} // namespace

ScheduleResult
RunSchedule(std::uint64_t aSeed, Sabotage aSabotage, std::ostream* aTrace)
{
  const SchedulePlan plan = MakeSchedulePlan(aSeed, aSabotage);
  ScheduleWorld world(plan, aTrace);
  ScheduleCallers callers(world, plan);
  world.Boot();
  const Instant begin = world.Clock().Now() + plan.m_warmUp;
  callers.Plan(begin);
  PlanFaults(world, plan, begin);
  const Instant calm = begin + kScheduleActive;
  const bool going =
    world.RunUntil(begin) &&
    (world.Network().SetCalm(false), world.RunUntil(calm)) &&
    (world.Network().SetCalm(true), world.RunUntil(calm + kSettling));
  if (going) {
    world.Finish();
  }
  return { aSeed,
           world.Checks().Breach(),
           world.Steps(),
           world.Checks().Answers(),
           world.Checks().Complete() };
}

} // namespace mulberrysail::core
