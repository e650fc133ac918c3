#include "core/internal/entry/crashcontroller.h"

#include "core/internal/entry/lostruns.h"
#include "core/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Interval at which isolated queues are checked for their release. */
constexpr Duration kCheckInterval = std::chrono::seconds(1);
/** A queue is active this long after its last job. */
constexpr Duration kActiveFor = std::chrono::seconds(10);
constexpr std::uint32_t kPercent = 100;
constexpr std::string_view kRankKey = "crash-isolation";

/** @return the service of an agent's workers, also while they are down. */
std::string
ServiceOfWorkers(const AgentRecord& aAgent)
{
  return aAgent.m_lastWorkers.empty() ? std::string()
                                      : aAgent.m_lastWorkers.front().m_service;
}

/** Marks a share of agents that have workers of the same service. The same
 * agents are chosen by all entries, and they stay the same while their workers
 * are down: other workers must not crash in their place. */
void
SelectShare(std::vector<AgentRecord*>& aAgents, std::uint32_t aPercent)
{
  std::sort(aAgents.begin(),
            aAgents.end(),
            [](const AgentRecord* aLeft, const AgentRecord* aRight) {
              return RendezvousScore(kRankKey, aLeft->m_id.m_name) >
                     RendezvousScore(kRankKey, aRight->m_id.m_name);
            });
  const std::size_t share =
    (aAgents.size() * aPercent + kPercent - 1) / kPercent;
  // At least one agent is left to other tasks.
  const std::size_t count = std::min(share, aAgents.size() - 1);
  for (std::size_t i = 0; i < count; ++i) {
    aAgents[i]->m_takesIsolated = true;
  }
}

} // namespace

bool
CrashController::OnCrashes(EntryEventContext& aContext,
                           AgentRecord& aAgent,
                           std::span<const WorkerCrash> aCrashes)
{
  bool anyNew = false;
  for (const WorkerCrash& crash : aCrashes) {
    // After a link was opened again, an agent announces all of its crashes.
    if (crash.m_number > aAgent.m_lastCrash) {
      aAgent.m_lastCrash = crash.m_number;
      Add(aContext, crash);
      anyNew = true;
    }
  }
  return anyNew && Update(aContext);
}

void
CrashController::Add(EntryEventContext& aContext, const WorkerCrash& aCrash)
{
  if (!m_board.m_crashes.AddCrash(aContext.m_now, aCrash)) {
    return;
  }
  std::set<std::string> repeatedQueues;
  for (const LostRun& run : aCrash.m_runs) {
    if (m_board.m_crashes.SuspectedRunsOf(run.m_task) > 1) {
      repeatedQueues.insert(run.m_queue);
    }
  }
  const Duration ago = std::max(aCrash.m_detectedAgo, Duration::zero());
  m_board.m_isolation.AddCrash(
    aContext.m_now - ago, aCrash, std::move(repeatedQueues));
}

bool
CrashController::OnTimer(EntryEventContext& aContext)
{
  m_board.m_isIsolationTimerArmed = false;
  return Update(aContext);
}

bool
CrashController::Update(EntryEventContext& aContext)
{
  if (m_board.m_policy.m_crashIsolationPercent == 0) {
    return false;
  }
  const std::vector<IsolationChange> changes = m_board.m_isolation.Update(
    aContext.m_now, ActiveQueues(aContext.m_now), m_board.m_agents.size());
  for (const IsolationChange& change : changes) {
    aContext.Record(change.m_isolated ? EventCode::QueueIsolated
                                      : EventCode::QueueReleased,
                    0,
                    EventDetail()
                      .Add("queue", change.m_queue)
                      .Add("recent_crashes", change.m_crashes)
                      .Add("caused", change.m_estimate.m_crashes)
                      .Add("rate", change.m_estimate.m_rate)
                      .Add("evidence", change.m_estimate.m_evidence)
                      .Add("agents", m_board.m_isolatedPool.m_agents.size()));
  }
  if (!m_board.m_isolation.Empty() && !m_board.m_isIsolationTimerArmed) {
    m_board.m_isIsolationTimerArmed = true;
    m_board.m_timers.Add(aContext.m_now + kCheckInterval, IsolationTimer{});
  }
  return !changes.empty();
}

std::vector<std::string>
CrashController::ActiveQueues(Instant aNow) const
{
  std::vector<std::string> active;
  for (const auto& [name, queue] : m_board.m_queues) {
    if (queue.m_lastArrivalAt + kActiveFor > aNow) {
      active.push_back(name);
    }
  }
  return active;
}

void
CrashController::SelectAgents()
{
  std::map<std::string, std::vector<AgentRecord*>> byService;
  for (auto& [id, agent] : m_board.m_agents) {
    agent.m_takesIsolated = false;
    const bool mayServe = !agent.m_announced.m_leaving &&
                          !agent.m_isZoneDrained &&
                          !agent.m_lastWorkers.empty();
    if (mayServe) {
      byService[ServiceOfWorkers(agent)].push_back(&agent);
    }
  }
  for (auto& [service, agents] : byService) {
    SelectShare(agents, m_board.m_policy.m_crashIsolationPercent);
  }
}

void
CrashController::MoveWaitingTasks()
{
  std::vector<WaitKey> keys;
  for (const WaitPool* const pool :
       { &m_board.m_taskPool, &m_board.m_isolatedPool }) {
    for (const auto& [key, work] : pool->m_queue.Ordered()) {
      keys.push_back(key);
    }
  }
  for (const WaitKey& key : keys) {
    const Submission& job = *m_board.Find(key.m_work.m_submission);
    WorkItem& item = *m_board.Find(key.m_work);
    const WaitingWork work = WaitingWorkOf(job, item);
    m_board.PoolOf(job, item).m_queue.Erase(key, work);
    item.m_isIsolated = MustIsolate(m_board, job, item);
    m_board.PoolOf(job, item).m_queue.Insert(key, work);
  }
}

} // namespace mulberrysail::core
