#include "core/tests/schedule_cluster.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** An entry may be notified after the zone has been returned to service, or
 * before it learns of an earlier change. */
constexpr Duration kLongestWatchDelay = std::chrono::seconds(2);
/** Probability that the store notifies an entry of a change; others learn of
 * it from agents and peers. */
constexpr double kNotifyProbability = 0.7;
/** Time for a hello without loss or long delay, and for a start that is already
 * under way. */
constexpr Duration kStartBound = std::chrono::milliseconds(25);

} // namespace

void
ScheduleCluster::DrainZone()
{
  const std::string zone =
    ScheduleDrains::ZoneOf(m_random.Below(ScheduleDrains::kZones));
  const ZoneDrains drains = m_drains.Toggle(zone);
  Trace("store: revision " + std::to_string(drains.m_revision) + " changes " +
        zone);
  const std::size_t always = m_random.Below(m_entries.size());
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (i == always || m_random.Chance(kNotifyProbability)) {
      m_clock.After(m_random.Between(Duration(0), kLongestWatchDelay),
                    [this, i, drains] { InformOfDrains(i, drains); });
    }
  }
}

void
ScheduleCluster::InformOfDrains(std::size_t aEntry, const ZoneDrains& aDrains)
{
  if (m_entries[aEntry]->Alive()) {
    m_drains.Informed(aEntry, aDrains.m_revision, m_clock.Now());
    m_entries[aEntry]->HandleEvent(ZoneDrainsChanged{ aDrains });
  }
}

void
ScheduleCluster::ApplyOmitDrains(Message& aMessage) const
{
  if (m_plan.m_mutation != Mutation::OmitDrains) {
    return;
  }
  if (EntryHello* const hello = std::get_if<EntryHello>(&aMessage)) {
    hello->m_drains = {};
  } else if (PeerHello* const peer = std::get_if<PeerHello>(&aMessage)) {
    peer->m_drains = {};
  }
}

void
ScheduleCluster::CheckStartInZone(std::size_t aAgent)
{
  // A lost or late message may take any time to be replaced.
  if (m_plan.m_lossProbability > 0 || m_plan.m_longDelayProbability > 0) {
    return;
  }
  std::vector<std::size_t> entries;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (m_entries[i]->Alive() && !m_entries[i]->Paused()) {
      entries.push_back(i);
    }
  }
  const Instant known = m_drains.KnownSince(aAgent, entries);
  if (known != kNever && m_clock.Now() > known + kStartBound) {
    m_checks.Fail(m_agents[aAgent]->Id().m_name +
                  " started a run in a drained zone " +
                  std::to_string((m_clock.Now() - known).count()) +
                  " us after it had to know of the drain");
  }
}

void
ScheduleCluster::CheckDrainCopies()
{
  const ZoneDrains* newest = nullptr;
  bool knowsStore = false;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (!m_entries[i]->Alive()) {
      continue;
    }
    const ZoneDrains& copy = m_entries[i]->GetCore().Drains();
    if (newest == nullptr || copy.m_revision > newest->m_revision) {
      newest = &copy;
    }
    knowsStore =
      knowsStore || m_drains.RevisionOf(i) == m_drains.Store().m_revision;
  }
  if (newest == nullptr) {
    return;
  }
  if (knowsStore && newest->m_zones != m_drains.Store().m_zones) {
    m_checks.Fail("the entries have not applied the store's drained zones");
  }
  for (const std::unique_ptr<EntryProcess>& entry : m_entries) {
    if (entry->Alive() &&
        entry->GetCore().Drains().m_zones != newest->m_zones) {
      m_checks.Fail(entry->Id().m_name + " has another list of drained zones");
    }
  }
  for (const std::unique_ptr<AgentProcess>& agent : m_agents) {
    if (agent->Alive() &&
        agent->GetCore().Status().m_load.m_drainsDigest != newest->Digest()) {
      m_checks.Fail(agent->Id().m_name + " has another list of drained zones");
    }
  }
}

} // namespace mulberrysail::core
