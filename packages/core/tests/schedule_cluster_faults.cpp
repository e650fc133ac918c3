#include "core/tests/schedule_cluster.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** Some pauses exceed the time after which entries remove an agent. */
constexpr Duration kLongestPause = std::chrono::seconds(9);
constexpr Duration kLongestShortPause = std::chrono::seconds(1);
constexpr Duration kShortestPause = std::chrono::milliseconds(50);
constexpr Duration kLongestCut = std::chrono::seconds(3);
constexpr Duration kLongestDown = std::chrono::seconds(4);
constexpr Duration kLongestConfigDelay = std::chrono::seconds(2);
/** Agents that have to keep a copy of the newest configuration. */
constexpr std::size_t kMinConfigCopies = 3;
constexpr double kRestartProbability = 0.8;

} // namespace

std::optional<std::size_t>
ScheduleCluster::RandomReadyEntry()
{
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const EntryProcess& entry = *m_entries[i];
    if (entry.Alive() && !entry.Paused() && !m_entryDraining[i]) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return m_random.OneOf(ready);
}

void
ScheduleCluster::Submit(std::size_t aEntry,
                        EntryEvent aEvent,
                        ScheduledSubmission aSubmission)
{
  aSubmission.m_entry = m_entries[aEntry]->Id();
  aSubmission.m_submittedAt = m_clock.Now();
  Trace(aSubmission.m_entry.m_name + " gets " + aSubmission.m_payloads.front() +
        " from caller " + std::to_string(aSubmission.m_caller.m_value));
  m_checks.Submitted(std::move(aSubmission));
  m_lastAdmitted = {};
  m_entries[aEntry]->HandleEvent(std::move(aEvent));
}

void
ScheduleCluster::CancelLater(std::size_t aEntry,
                             CallerToken aCaller,
                             Duration aAfter)
{
  EntryEvent event = CallerGone{ aCaller };
  if (m_lastAdmitted.m_value != 0 && m_random.Chance(0.5)) {
    event = CancelSubmission{ m_lastAdmitted };
  }
  m_clock.After(aAfter,
                [this, aEntry, event, incarnation = m_entries[aEntry]->Id()] {
                  if (m_entries[aEntry]->Id() == incarnation) {
                    m_entries[aEntry]->HandleEvent(event);
                  }
                });
}

void
ScheduleCluster::CutLink()
{
  const std::string entry = m_random.OneOf(m_entries)->Id().m_name;
  const bool toPeer = m_entries.size() > 1 && m_random.Chance(0.2);
  const std::string other = toPeer ? m_random.OneOf(m_entries)->Id().m_name
                                   : m_random.OneOf(m_agents)->Id().m_name;
  if (entry != other) {
    Trace("cut " + entry + " " + other);
    const Duration length = m_random.Between(Duration(0), kLongestCut);
    m_network.Cut(entry, other, length);
    m_drains.OutUntil(ScheduleDrains::LinkName(entry, other),
                      m_clock.Now() + length);
  }
}

void
ScheduleCluster::CrashAgent()
{
  const std::size_t index = m_random.Below(m_agents.size());
  if (!m_agents[index]->Alive()) {
    return;
  }
  Trace("crash " + m_agents[index]->Id().m_name);
  RestartAgentLater(index);
}

void
ScheduleCluster::RestartAgentLater(std::size_t aAgent)
{
  m_agents[aAgent]->End();
  m_clock.After(m_random.Between(Duration(0), kLongestDown),
                [this, aAgent] { BootAgent(aAgent); });
}

void
ScheduleCluster::CrashEntry()
{
  const std::size_t index = m_random.Below(m_entries.size());
  EntryProcess& entry = *m_entries[index];
  if (!entry.Alive()) {
    return;
  }
  Trace("crash " + entry.Id().m_name);
  m_checks.EntryCrashed(entry.Id());
  entry.End();
  m_clock.After(m_random.Between(Duration(0), kLongestDown), [this, index] {
    if (!m_entries[index]->Alive()) {
      BootEntry(index);
    }
  });
}

void
ScheduleCluster::Pause()
{
  const Duration length = m_random.Between(
    kShortestPause, m_random.Chance(0.5) ? kLongestPause : kLongestShortPause);
  if (m_random.Chance(0.5)) {
    EntryProcess& entry = *m_random.OneOf(m_entries);
    if (entry.Alive() && !entry.Paused()) {
      Trace("pause " + entry.Id().m_name);
      m_checks.EntryPaused(entry.Id(), length);
      m_drains.OutUntil(entry.Id().m_name, m_clock.Now() + length);
      entry.Pause(length);
    }
    return;
  }
  AgentProcess& agent = *m_random.OneOf(m_agents);
  if (agent.Alive() && !agent.Paused()) {
    Trace("pause " + agent.Id().m_name);
    m_drains.OutUntil(agent.Id().m_name, m_clock.Now() + length);
    agent.Pause(length);
  }
}

void
ScheduleCluster::CrashBackend()
{
  const bool worker = m_plan.m_workers > 0 && m_random.Chance(0.5);
  const std::string backend =
    worker ? "worker" + std::to_string(m_random.Below(m_plan.m_workers))
           : "endpoint of " + m_random.OneOf(m_agents)->Id().m_name;
  Trace("crash " + backend);
  m_backends.Crash(backend, m_random.Between(Duration(0), kLongestDown));
}

void
ScheduleCluster::DrainAgent()
{
  const std::size_t index = m_random.Below(m_agents.size());
  if (!m_agents[index]->Alive()) {
    return;
  }
  Trace("drain " + m_agents[index]->Id().m_name);
  m_agentDraining[index] = true;
  m_agents[index]->HandleEvent(DrainRequested{});
}

void
ScheduleCluster::DrainEntry()
{
  const std::size_t index = m_random.Below(m_entries.size());
  if (!m_entries[index]->Alive()) {
    return;
  }
  Trace("drain " + m_entries[index]->Id().m_name);
  m_entryDraining[index] = true;
  m_entries[index]->HandleEvent(DrainRequested{});
}

void
ScheduleCluster::StopDrainedProcesses()
{
  const bool abortDrain = m_plan.m_mutation == Mutation::AbortDrain;
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    AgentProcess& agent = *m_agents[i];
    if (!m_agentDraining[i] || !agent.Alive() || agent.Paused() ||
        !(abortDrain || agent.GetCore().Idle())) {
      continue;
    }
    if (m_backends.CountActiveRuns(agent.Id(), WorkKind::Request) +
          m_backends.CountActiveRuns(agent.Id(), WorkKind::Task) >
        0) {
      m_checks.Fail(agent.Id().m_name + " stopped while runs were active");
    }
    Trace("end " + agent.Id().m_name);
    RestartAgentLater(i);
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    EntryProcess& entry = *m_entries[i];
    if (!m_entryDraining[i] || !entry.Alive() || entry.Paused() ||
        !(abortDrain || entry.GetCore().Idle())) {
      continue;
    }
    Trace("end " + entry.Id().m_name);
    m_checks.EntryEnded(entry.Id());
    entry.End();
    if (m_random.Chance(kRestartProbability)) {
      m_clock.After(m_random.Between(Duration(0), kLongestDown),
                    [this, i] { BootEntry(i); });
    }
  }
}

void
ScheduleCluster::PatchConfig()
{
  ++m_config.m_value;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    m_clock.After(m_random.Between(Duration(0), kLongestConfigDelay),
                  [this, i, version = m_config] { ApplyConfig(i, version); });
  }
}

void
ScheduleCluster::CheckConfigCopies()
{
  const bool anyEntry =
    std::any_of(m_entries.begin(),
                m_entries.end(),
                [](const std::unique_ptr<EntryProcess>& aEntry) {
                  return aEntry->Alive();
                });
  std::size_t alive = 0;
  std::size_t copies = 0;
  for (const std::unique_ptr<AgentProcess>& agent : m_agents) {
    if (!anyEntry || !agent->Alive()) {
      continue;
    }
    ++alive;
    const AgentStatus status = agent->GetCore().Status();
    copies += status.m_load.m_config == m_config ? 1 : 0;
    if (status.m_load.m_newestConfig != m_config) {
      m_checks.Fail(agent->Id().m_name + ": expected to know configuration " +
                    std::to_string(m_config.m_value) + ", got " +
                    std::to_string(status.m_load.m_newestConfig.m_value));
    }
  }
  const std::size_t expected = std::min(alive, kMinConfigCopies);
  if (copies < expected) {
    m_checks.Fail("expected " + std::to_string(expected) +
                  " agents with a copy of configuration " +
                  std::to_string(m_config.m_value) + ", got " +
                  std::to_string(copies));
  }
}

void
ScheduleCluster::CheckFinalState()
{
  CheckConfigCopies();
  CheckDrainCopies();
  for (const std::unique_ptr<AgentProcess>& agent : m_agents) {
    if (!agent->Alive()) {
      continue;
    }
    const AgentCounters counters = agent->GetCore().Counters();
    if (counters.m_queued + counters.m_running > 0) {
      m_checks.Fail(agent->Id().m_name + ": expected no open attempts, got " +
                    std::to_string(counters.m_queued) + " queued and " +
                    std::to_string(counters.m_running) + " running");
    }
  }
  for (const std::unique_ptr<EntryProcess>& entry : m_entries) {
    if (entry->Alive() && !entry->GetCore().Idle()) {
      m_checks.Fail(entry->Id().m_name + " still has open submissions");
    }
  }
  m_checks.CheckFinalState();
}

} // namespace mulberrysail::core
