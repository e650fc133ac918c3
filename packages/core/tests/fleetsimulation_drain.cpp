#include "core/tests/fleetsimulation.h"

namespace mulberrysail::core {

namespace {

/** The watches of the entries notify them one after the other. */
constexpr Duration kWatchLag = std::chrono::milliseconds(130);

} // namespace

void
FleetSimulation::PlanDrain()
{
  const FleetDrain& drain = m_plan.m_drain;
  if (drain.m_zone.empty()) {
    return;
  }
  InformEntries(m_start + drain.m_from, { 10, { drain.m_zone } });
  InformEntries(m_start + drain.m_until, { 11, {} });
  At(m_start + drain.m_until, [this] {
    for (AgentHost& agent : m_agents) {
      if (agent.m_zone == m_plan.m_drain.m_zone) {
        AnnounceWorker(agent, m_plan.m_drain.m_warmUp);
      }
    }
  });
}

void
FleetSimulation::InformEntries(Instant aFirst, const ZoneDrains& aDrains)
{
  Instant when = aFirst;
  for (EntryHost& entry : m_entries) {
    At(when, [this, &entry, aDrains] {
      HandleEntryEvent(entry, ZoneDrainsChanged{ aDrains });
    });
    when += kWatchLag;
  }
}

void
FleetSimulation::CountStartInDrainedZone(const AgentHost& aAgent)
{
  const FleetDrain& drain = m_plan.m_drain;
  if (aAgent.m_zone != drain.m_zone) {
    return;
  }
  const Duration time = m_now - m_start;
  if (time < drain.m_from) {
    ++m_result.m_startsBeforeDrain;
  } else if (time >= drain.m_until) {
    ++m_result.m_startsAfterDrain;
  } else if (time > drain.m_from + kFleetDrainBound) {
    ++m_result.m_startsWhileDrained;
  }
}

Duration
FleetSimulation::RunTimeAt(const AgentHost& aAgent, Duration aRun) const
{
  const FleetDrain& drain = m_plan.m_drain;
  const Duration time = m_now - m_start;
  const bool warmingUp =
    !drain.m_zone.empty() && aAgent.m_zone == drain.m_zone &&
    time >= drain.m_until && time < drain.m_until + drain.m_warmUp;
  return warmingUp
           ? Duration(static_cast<Duration::rep>(
               static_cast<double>(aRun.count()) * drain.m_warmUpFactor))
           : aRun;
}

} // namespace mulberrysail::core
