#include "core/internal/entry/zonedraincontroller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Shortest interval between two hellos to an agent with another list. */
constexpr Duration kHelloInterval = std::chrono::seconds(1);
/** When the agents of a drained zone must be known: an entry that has just
 * started reads the list before the agents announce themselves. Longer than
 * their heartbeat interval. */
constexpr Duration kCheckZonesAfter = std::chrono::seconds(5);

std::string
JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

} // namespace

bool
ZoneDrainController::Apply(EntryEventContext& aContext,
                           const ZoneDrains& aDrains)
{
  if (aDrains.m_revision <= m_board.m_drains.m_revision) {
    return false;
  }
  const ZoneDrains before = std::exchange(m_board.m_drains, aDrains);
  const bool changed = before.m_zones != aDrains.m_zones;
  if (changed) {
    m_board.m_drainsDigest = aDrains.Digest();
    m_board.m_hasSeenDrain = m_board.m_hasSeenDrain || !aDrains.m_zones.empty();
  }
  if (m_board.m_shard != 0) {
    return changed;
  }
  if (changed) {
    RecordChange(aContext, before);
  }
  // Without the higher revision of an unchanged list, agents would adopt a list
  // from between the two revisions that another entry applies late, and would
  // start work in a drained zone until the next hello.
  if (changed || !aDrains.m_zones.empty()) {
    SendToAgents(aContext);
  }
  return changed;
}

void
ZoneDrainController::RecordChange(EntryEventContext& aContext,
                                  const ZoneDrains& aBefore)
{
  const ZoneDrains& drains = m_board.m_drains;
  aContext.Record(EventCode::DrainedZonesChanged,
                  0,
                  EventDetail()
                    .Add("zones", JoinNames(drains.m_zones))
                    .Add("revision", drains.m_revision)
                    .Add("before", JoinNames(aBefore.m_zones)));
  std::vector<std::string> added;
  std::set_difference(drains.m_zones.begin(),
                      drains.m_zones.end(),
                      aBefore.m_zones.begin(),
                      aBefore.m_zones.end(),
                      std::back_inserter(added));
  if (!added.empty()) {
    m_board.m_timers.Add(aContext.m_now + kCheckZonesAfter,
                         DrainedZonesTimer{ std::move(added) });
  }
}

void
ZoneDrainController::SendToAgents(EntryEventContext& aContext)
{
  // A hello to an agent that leaves heartbeats unanswered would keep the runs
  // of this entry there alive, see MembershipController::OnHeartbeat.
  for (auto& [id, agent] : m_board.m_agents) {
    if (agent.m_reachable || !agent.m_heartbeatPendingSince) {
      SendHello(aContext, agent);
    }
  }
}

void
ZoneDrainController::OnAgentDigest(EntryEventContext& aContext,
                                   AgentRecord& aAgent)
{
  if (m_board.m_shard != 0 ||
      aAgent.m_load.m_drainsDigest == m_board.m_drainsDigest ||
      aContext.m_now < aAgent.m_drainsHelloAt + kHelloInterval) {
    return;
  }
  SendHello(aContext, aAgent);
}

void
ZoneDrainController::SendHello(EntryEventContext& aContext, AgentRecord& aAgent)
{
  aAgent.m_drainsHelloAt = aContext.m_now;
  // The agent takes the hello as a sign of life of this entry.
  aContext.Send(aAgent.m_id, m_board.MakeHello());
}

void
ZoneDrainController::OnZonesTimer(EntryEventContext& aContext,
                                  const std::vector<std::string>& aZones) const
{
  for (const std::string& zone : aZones) {
    if (m_board.m_drains.Contains(zone) && !HasAgentIn(zone)) {
      aContext.Record(EventCode::DrainedZoneUnknown,
                      0,
                      EventDetail()
                        .Add("zone", zone)
                        .Add("revision", m_board.m_drains.m_revision)
                        .Add("agents", m_board.m_agents.size()));
    }
  }
}

bool
ZoneDrainController::HasAgentIn(const std::string& aZone) const
{
  return std::any_of(
    m_board.m_agents.begin(),
    m_board.m_agents.end(),
    [&](const std::pair<const ProcessId, AgentRecord>& aAgent) {
      return aAgent.second.m_announced.m_zone == aZone;
    });
}

} // namespace mulberrysail::core
