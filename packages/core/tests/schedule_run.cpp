#include "core/tests/schedule_run.h"

#include "core/tests/schedule_callers.h"
#include "core/tests/schedule_cluster.h"

namespace mulberrysail::core {

namespace {

/** Time after the last fault in which late messages arrive, deadlines pass, the
 * longest runs end and leases expire. */
constexpr Duration kSettleTime = std::chrono::seconds(24);
constexpr std::uint32_t kMaxPatches = 3;

void
PlanAtRandomTimes(ScheduleCluster& aCluster,
                  Instant aFrom,
                  std::uint32_t aTimes,
                  void (ScheduleCluster::*aAction)())
{
  for (std::uint32_t i = 0; i < aTimes; ++i) {
    const Instant when =
      aFrom + aCluster.Random().Between(Duration(0), kActivePhase);
    aCluster.Clock().At(when, [&aCluster, aAction] { (aCluster.*aAction)(); });
  }
}

void
PlanFaults(ScheduleCluster& aCluster, const SchedulePlan& aPlan, Instant aFrom)
{
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_linkCuts, &ScheduleCluster::CutLink);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_agentCrashes, &ScheduleCluster::CrashAgent);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_entryCrashes, &ScheduleCluster::CrashEntry);
  PlanAtRandomTimes(aCluster, aFrom, aPlan.m_pauses, &ScheduleCluster::Pause);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_backendCrashes, &ScheduleCluster::CrashBackend);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_agentDrains, &ScheduleCluster::DrainAgent);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_entryDrains, &ScheduleCluster::DrainEntry);
  PlanAtRandomTimes(
    aCluster,
    aFrom,
    static_cast<std::uint32_t>(aCluster.Random().Below(kMaxPatches + 1)),
    &ScheduleCluster::PatchConfig);
  PlanAtRandomTimes(
    aCluster, aFrom, aPlan.m_zoneChanges, &ScheduleCluster::DrainZone);
}

} // namespace

ScheduleResult
RunSchedule(std::uint64_t aSeed, Mutation aMutation, std::ostream* aTrace)
{
  const SchedulePlan plan = MakeSchedulePlan(aSeed, aMutation);
  ScheduleCluster cluster(plan, aTrace);
  ScheduleCallers callers(cluster, plan);
  cluster.Boot();
  const Instant begin = cluster.Clock().Now() + plan.m_warmUp;
  callers.Plan(begin);
  PlanFaults(cluster, plan, begin);
  const Instant faultsEnd = begin + kActivePhase;
  const bool completed =
    cluster.RunUntil(begin) &&
    (cluster.Network().SetFaultless(false), cluster.RunUntil(faultsEnd)) &&
    (cluster.Network().SetFaultless(true),
     cluster.RunUntil(faultsEnd + kSettleTime));
  if (completed) {
    cluster.CheckFinalState();
  }
  return { aSeed,
           cluster.Checks().Violation(),
           cluster.Steps(),
           cluster.Checks().Answers(),
           cluster.Checks().Complete(),
           cluster.Forwarded() };
}

} // namespace mulberrysail::core
