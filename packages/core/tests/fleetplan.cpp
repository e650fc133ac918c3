#include "core/tests/fleetsimulation.h"

/** The plans of simulated fleets. */
namespace mulberrysail::core {

namespace {

constexpr double kFourZoneJobsPerSecond = 845;
constexpr double kMsPerSecond = 1000;

} // namespace

FleetPlan
DefaultFleetPlan()
{
  FleetPlan plan;
  plan.m_entryPolicy.m_agentQueueDepth = 0;
  plan.m_entryPolicy.m_openAttemptHeartbeat = std::chrono::milliseconds(200);
  plan.m_entryPolicy.m_agentTimeout = std::chrono::milliseconds(450);
  plan.m_entryPolicy.m_runsEndAfter = std::chrono::milliseconds(1250);
  plan.m_agentPolicy.m_maxQueuedTasks = 0;
  plan.m_agentPolicy.m_reserveDeclared = true;
  plan.m_agentPolicy.m_workerLease = std::chrono::hours(1);
  plan.m_agentPolicy.m_lease = std::chrono::hours(1);
  return plan;
}

FleetPlan
FourZonePlan(double aUse)
{
  FleetPlan plan = DefaultFleetPlan();
  plan.m_entries = 8;
  plan.m_agents = 50;
  plan.m_zones = 4;
  plan.m_agentMilliCores = 64000;
  double jobs = 0;
  double running = 0;
  for (const JobKind& kind : kJobKinds) {
    jobs += kind.m_perSecond;
    running += kind.m_perSecond * kind.m_tasks * kind.m_runMs / kMsPerSecond;
  }
  plan.m_load = kFourZoneJobsPerSecond / jobs;
  const double milliCores =
    static_cast<double>(plan.m_agents) * plan.m_agentMilliCores;
  plan.m_taskMilliCores =
    static_cast<std::uint32_t>(aUse * milliCores / (running * plan.m_load));
  return plan;
}

} // namespace mulberrysail::core
