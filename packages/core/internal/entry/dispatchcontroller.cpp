#include "core/internal/entry/dispatchcontroller.h"

#include "core/iagent.h"
#include "core/internal/entry/jobpolicy.h"
#include "core/internal/entry/jobsteps.h"
#include "core/internal/entry/lostruns.h"
#include "core/internal/rendezvous.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Most items that one pass over a wait queue skips for lack of free capacity.
 * An unrestricted request in its first attempt ends the pass instead. */
constexpr std::size_t kMaxSkippedItems = 32;
/** A request, or a task of a job without a queue, is dispatched before all
 * others when it is this close to its latest useful start. */
constexpr Duration kUrgentMargin = std::chrono::milliseconds(150);
/** Base of the order of urgent items: below all other orders, with headroom so
 * that adding the latest useful start cannot overflow. */
constexpr std::int64_t kUrgentOrder =
  std::numeric_limits<std::int64_t>::min() / 2;
/** Most agents at which an entry subscribes to free capacity while work waits,
 * besides those that receive its offers. Each subscription costs messages, and
 * few agents with free capacity are enough to dispatch the next items. */
constexpr std::size_t kMaxSubscriptions = 8;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(20);
/** The latest useful start of work without a queue lies at most the remaining
 * time divided by this number before the deadline, even if the expected run
 * time is longer. */
constexpr int kStartByDivisor = 2;

} // namespace

std::vector<AgentRecord*>
KeyCandidates(EntryBoard& aBoard, const Submission& aSubmission)
{
  const CallerKey& key = *aSubmission.m_key;
  std::vector<AgentRecord*> agents =
    aBoard.Service(aSubmission.m_service).m_agents;
  std::erase_if(agents, [&](const AgentRecord* aAgent) {
    return aAgent->m_servedSince.at(aSubmission.m_service) >
           aSubmission.m_admittedAt;
  });
  const std::size_t count =
    std::min<std::size_t>(aBoard.m_policy.m_keyCandidates, agents.size());
  std::partial_sort(agents.begin(),
                    agents.begin() + static_cast<std::ptrdiff_t>(count),
                    agents.end(),
                    [&](const AgentRecord* aLeft, const AgentRecord* aRight) {
                      return RendezvousScore(key.m_key, aLeft->m_id.m_name) >
                             RendezvousScore(key.m_key, aRight->m_id.m_name);
                    });
  agents.resize(count);
  return agents;
}

std::int64_t
DispatchController::ComputeOrder(EntryEventContext& aContext,
                                 const Submission& aSubmission,
                                 Duration aLength,
                                 Duration aWork)
{
  // The shares of the teams span all tasks.
  WaitPool& pool = aSubmission.m_kind == WorkKind::Request
                     ? m_board.Service(aSubmission.m_service).m_requestPool
                     : m_board.m_taskPool;
  const auto team = m_board.m_config.m_teams.find(aSubmission.m_team);
  const std::uint32_t weight =
    team == m_board.m_config.m_teams.end() ? 1 : team->second.m_weight;
  const double slots = std::max(1.0, pool.m_parallelism / m_board.EntryCount());
  const Duration work(
    static_cast<Duration::rep>(static_cast<double>(aWork.count()) / slots));
  const Duration lag =
    pool.m_fairShares.Charge(aContext.m_now, aSubmission.m_team, weight, work);
  const double age =
    static_cast<double>(aContext.m_now.time_since_epoch().count()) *
    m_board.m_policy.m_ageingFactor;
  return static_cast<std::int64_t>(age) + aLength.count() - lag.count();
}

Instant
DispatchController::LatestUsefulStart(const EntryEventContext& aContext,
                                      const Submission& aSubmission,
                                      const WorkItem& aItem)
{
  const bool started = std::any_of(
    aSubmission.m_items.begin(), aSubmission.m_items.end(), MayHaveRun);
  // Once a task of the job may have run, a late answer is better than none: the
  // job may finish after m_due, up to its deadline.
  // The agent could have started a task until the deadline, so the drain of its
  // zone must not shorten the time in which another agent may start it.
  const Instant end = started || aItem.m_wasRefusedForDrain
                        ? aSubmission.m_deadline
                        : aSubmission.m_due;
  return std::max(end - aItem.m_expectedRun - aItem.m_successorRun,
                  aContext.m_now);
}

void
DispatchController::InsertIntoQueue(EntryEventContext& aContext,
                                    Submission& aSubmission,
                                    std::uint32_t aIndex,
                                    std::int64_t aOrder)
{
  WorkItem& item = aSubmission.m_items[aIndex];
  const Duration left =
    std::max(aSubmission.m_deadline - aContext.m_now, Duration::zero());
  item.m_startBy = aSubmission.m_queue.empty()
                     ? aSubmission.m_deadline -
                         std::min(item.m_expectedRun, left / kStartByDivisor)
                     : LatestUsefulStart(aContext, aSubmission, item);
  item.m_state = WorkState::Waiting;
  item.m_order = aOrder;
  const WorkRef work{ aSubmission.m_id, aIndex };
  item.m_isIsolated = MustIsolate(m_board, aSubmission, item);
  m_board.QueueOf(aSubmission, item)
    .Insert({ aOrder, work }, WaitingWorkOf(aSubmission, item));
  const Duration urgent =
    aSubmission.m_queue.empty() ? kUrgentMargin : Duration::zero();
  m_board.m_timers.Add(std::max(item.m_startBy - urgent, aContext.m_now),
                       StartByTimer{ work });
}

void
DispatchController::Enqueue(EntryEventContext& aContext, WorkRef aWork)
{
  Submission* submission = m_board.Find(aWork.m_submission);
  if (submission == nullptr) {
    return;
  }
  WorkItem& item = submission->m_items.at(aWork.m_index);
  // A refused item keeps its order.
  const std::int64_t order =
    item.m_order
      ? *item.m_order
      : ComputeOrder(
          aContext, *submission, item.m_expectedRun, item.m_expectedRun);
  InsertIntoQueue(aContext, *submission, aWork.m_index, order);
}

void
DispatchController::EnqueueJob(EntryEventContext& aContext, Submission& aJob)
{
  // A job is done when its longest task is done, so its longest tasks are
  // dispatched first. Among jobs, the job with the least work is first.
  Duration longest{};
  Duration work{};
  for (const WorkItem& item : aJob.m_items) {
    longest = std::max(longest, item.m_expectedRun);
    work += item.m_expectedRun;
  }
  const Duration spread(static_cast<Duration::rep>(
    static_cast<double>(work.count()) /
    std::max(m_board.m_taskPool.m_parallelism, 1.0)));
  const std::int64_t order =
    aJob.m_queue.empty()
      ? ComputeOrder(aContext, aJob, std::max(longest, spread), work)
      : JobOrder(m_board, aJob);
  std::vector<std::uint32_t> ready;
  for (std::uint32_t i = 0; i < aJob.m_items.size(); ++i) {
    if (aJob.m_items[i].m_state == WorkState::Waiting) {
      ready.push_back(i);
    }
  }
  EnqueueLongestFirst(aContext, aJob, ready, order);
}

void
DispatchController::EnqueueUnblocked(EntryEventContext& aContext,
                                     Submission& aJob,
                                     std::uint32_t aStep)
{
  const std::vector<std::uint32_t> unblocked = UnblockedBy(aJob, aStep);
  if (!unblocked.empty()) {
    // Tasks of later steps get the order of the job, as its first tasks did, so
    // they are not ordered as new arrivals.
    EnqueueLongestFirst(aContext, aJob, unblocked, JobOrder(m_board, aJob));
  }
}

void
DispatchController::EnqueueLongestFirst(EntryEventContext& aContext,
                                        Submission& aJob,
                                        std::vector<std::uint32_t> aItems,
                                        std::int64_t aOrder)
{
  std::stable_sort(aItems.begin(),
                   aItems.end(),
                   [&](std::uint32_t aLeft, std::uint32_t aRight) {
                     return aJob.m_items[aLeft].m_expectedRun >
                            aJob.m_items[aRight].m_expectedRun;
                   });
  for (std::size_t rank = 0; rank < aItems.size(); ++rank) {
    InsertIntoQueue(
      aContext, aJob, aItems[rank], aOrder + static_cast<std::int64_t>(rank));
  }
}

void
DispatchController::DispatchAll(EntryEventContext& aContext)
{
  for (auto& [name, service] : m_board.m_services) {
    DispatchRequests(aContext, name);
  }
  DispatchTasks(aContext);
}

void
DispatchController::DispatchRequests(EntryEventContext& aContext,
                                     const std::string& aService)
{
  ServiceState& service = m_board.Service(aService);
  Dispatch(aContext, service.m_requestPool);
  SubscribeToCapacity(aContext, service.m_requestPool, service.m_agents);
}

void
DispatchController::DispatchTasks(EntryEventContext& aContext)
{
  for (WaitPool* const pool :
       { &m_board.m_taskPool, &m_board.m_isolatedPool }) {
    Dispatch(aContext, *pool);
    SubscribeToCapacity(aContext, *pool, pool->m_agents);
  }
}

void
DispatchController::SubscribeToCapacity(
  EntryEventContext& aContext,
  WaitPool& aPool,
  const std::vector<AgentRecord*>& aAgents)
{
  const Duration lease = m_board.m_policy.m_subscribeFor;
  if (aPool.m_queue.Empty() || lease <= Duration::zero() ||
      aContext.m_now < aPool.m_subscribedAt + lease / 2) {
    return;
  }
  aPool.m_subscribedAt = aContext.m_now;
  EntryHello hello = m_board.MakeHello();
  hello.m_subscribeFor = lease;
  for (const AgentRecord* agent :
       m_placement.SampleNearest(aAgents, kMaxSubscriptions)) {
    hello.m_demand = DemandView(m_board).StatementTo(*agent);
    aContext.Send(agent->m_id, hello);
  }
}

bool
DispatchController::IsAnyWaiting() const
{
  return !m_board.m_taskPool.m_queue.Empty() ||
         !m_board.m_isolatedPool.m_queue.Empty() ||
         std::any_of(
           m_board.m_services.begin(),
           m_board.m_services.end(),
           [](const std::pair<const std::string, ServiceState>& aOne) {
             return !aOne.second.m_requestPool.m_queue.Empty();
           });
}

void
DispatchController::Dispatch(EntryEventContext& aContext, WaitPool& aPool)
{
  const WaitQueue& queue = aPool.m_queue;
  std::size_t skipped = 0;
  // With full agents most items are skipped; without this bound each of them
  // would be compared with all agents in each pass.
  std::optional<FreeCapacity> largest;
  WaitQueue::Keys::const_iterator next = queue.Ordered().begin();
  while (next != queue.Ordered().end() && skipped < kMaxSkippedItems) {
    const WaitKey key = next->first;
    const Submission& submission = *m_board.Find(key.m_work.m_submission);
    const bool restricted = IsRestrictedToCandidates(submission);
    const WorkItem& item = *m_board.Find(key.m_work);
    const bool isRetry = item.m_retries > 0;
    const bool mustFit = submission.m_kind == WorkKind::Task &&
                         m_board.m_policy.m_agentQueueDepth == 0;
    if (mustFit && !largest) {
      largest = m_placement.LargestFreeCapacity(aPool.m_agents);
    }
    const bool canBePlaced = !mustFit || largest->Fits(item.m_need);
    if (canBePlaced && TryPlace(aContext, key) != PlacementResult::NoCapacity) {
      largest.reset();
      next = queue.Ordered().upper_bound(key);
      continue;
    }
    // Later items may still be offered if only this item's choice of agents was
    // restricted.
    if (!restricted && !isRetry && submission.m_kind == WorkKind::Request) {
      return;
    }
    ++skipped;
    ++next;
  }
}

DispatchController::PlacementResult
DispatchController::TryPlace(EntryEventContext& aContext, const WaitKey& aKey)
{
  Submission& submission = *m_board.Find(aKey.m_work.m_submission);
  const std::uint32_t index = aKey.m_work.m_index;
  WorkItem& item = submission.m_items.at(index);
  WaitQueue& queue = m_board.QueueOf(submission, item);
  if (MustGiveUp(m_board, submission, item)) {
    // Runs of the same task have been lost at other entries in the meantime.
    queue.Erase(aKey, WaitingWorkOf(submission, item));
    m_answers.GiveUp(aContext, submission, item);
    return PlacementResult::GivenUp;
  }
  if (m_board.m_revocations.MayStillRun(item.m_name)) {
    // An earlier submission of the job was revoked, and its run may go on.
    return PlacementResult::NoCapacity;
  }
  const ProbePlacement* probe =
    std::get_if<ProbePlacement>(&m_board.m_policy.m_placement);
  const bool restricted = IsRestrictedToCandidates(submission);
  if (probe != nullptr && submission.m_kind == WorkKind::Request &&
      !restricted) {
    if (m_board.Service(submission.m_service).m_agents.empty()) {
      return PlacementResult::NoCapacity;
    }
    queue.Erase(aKey, WaitingWorkOf(submission, item));
    StartProbe(aContext, submission, index, probe->m_probes);
    return PlacementResult::Probing;
  }
  AgentRecord* agent = nullptr;
  if (submission.m_kind == WorkKind::Task) {
    agent = m_placement.PickForTask(submission, item, aContext.m_now);
  } else if (restricted) {
    const std::vector<AgentRecord*> candidates =
      KeyCandidates(m_board, submission);
    agent = m_placement.PickForRequest(submission, item, &candidates);
  } else {
    agent = m_placement.PickForRequest(submission, item, nullptr);
  }
  if (agent == nullptr) {
    return PlacementResult::NoCapacity;
  }
  queue.Erase(aKey, WaitingWorkOf(submission, item));
  m_offers.Add(aContext, submission, index, *agent);
  return PlacementResult::Offered;
}

void
DispatchController::FlushOffers(EntryEventContext& aContext)
{
  m_offers.Flush(aContext,
                 IsAnyWaiting() ? m_board.m_policy.m_subscribeFor
                                : Duration::zero());
}

void
DispatchController::OnStartBy(EntryEventContext& aContext, WorkRef aWork)
{
  Submission* submission = m_board.Find(aWork.m_submission);
  if (submission == nullptr) {
    return;
  }
  WorkItem& item = submission->m_items.at(aWork.m_index);
  if (item.m_state != WorkState::Waiting) {
    return;
  }
  if (!submission->m_queue.empty()) {
    // Another task of the job may have been offered in the meantime; then the
    // deadline applies instead of m_due.
    item.m_startBy = LatestUsefulStart(aContext, *submission, item);
    if (aContext.m_now < item.m_startBy) {
      m_board.m_timers.Add(item.m_startBy, StartByTimer{ aWork });
      return;
    }
  }
  if (aContext.m_now >= item.m_startBy) {
    m_answers.Fail(aContext,
                   *submission,
                   ErrorKind::DeadlinePassedQueued,
                   "it could no longer be done by its deadline");
    return;
  }
  WaitPool& pool = m_board.PoolOf(*submission, item);
  const WaitingWork work = WaitingWorkOf(*submission, item);
  pool.m_queue.Erase({ *item.m_order, aWork }, work);
  item.m_order = kUrgentOrder + item.m_startBy.time_since_epoch().count();
  pool.m_queue.Insert({ *item.m_order, aWork }, work);
  m_board.m_timers.Add(item.m_startBy, StartByTimer{ aWork });
  Dispatch(aContext, pool);
}

void
DispatchController::StartProbe(EntryEventContext& aContext,
                               Submission& aSubmission,
                               std::uint32_t aIndex,
                               std::uint32_t aProbes)
{
  aSubmission.m_items[aIndex].m_state = WorkState::Probing;
  Probe probe;
  probe.m_work = { aSubmission.m_id, aIndex };
  for (const AgentRecord* agent : m_placement.Sample(
         m_board.Service(aSubmission.m_service).m_agents, aProbes)) {
    if (probe.m_pendingAgents.insert(agent->m_id).second) {
      probe.m_candidates.push_back(agent->m_id);
      aContext.Send(agent->m_id, Reconcile{});
    }
  }
  m_board.m_timers.Add(aContext.m_now + kProbeTimeout,
                       ProbeTimer{ probe.m_work });
  m_board.m_probes.push_back(std::move(probe));
}

void
DispatchController::OnProbeReply(EntryEventContext& aContext,
                                 const ProcessId& aAgent)
{
  for (std::size_t i = 0; i < m_board.m_probes.size();) {
    Probe& probe = m_board.m_probes[i];
    probe.m_pendingAgents.erase(aAgent);
    if (probe.m_pendingAgents.empty()) {
      FinishProbe(aContext, i);
    } else {
      ++i;
    }
  }
}

void
DispatchController::OnProbeTimer(EntryEventContext& aContext, WorkRef aWork)
{
  for (std::size_t i = 0; i < m_board.m_probes.size(); ++i) {
    if (m_board.m_probes[i].m_work == aWork) {
      FinishProbe(aContext, i);
      return;
    }
  }
}

void
DispatchController::FinishProbe(EntryEventContext& aContext, std::size_t aProbe)
{
  const Probe probe = std::move(m_board.m_probes[aProbe]);
  m_board.m_probes.erase(m_board.m_probes.begin() +
                         static_cast<std::ptrdiff_t>(aProbe));
  Submission* submission = m_board.Find(probe.m_work.m_submission);
  if (submission == nullptr) {
    return;
  }
  WorkItem& item = submission->m_items.at(probe.m_work.m_index);
  std::vector<AgentRecord*> candidates;
  for (const ProcessId& id : probe.m_candidates) {
    const auto agent = m_board.m_agents.find(id);
    if (agent != m_board.m_agents.end()) {
      candidates.push_back(&agent->second);
    }
  }
  AgentRecord* best = m_placement.LeastLoaded(*submission, item, candidates);
  if (best == nullptr) {
    Enqueue(aContext, probe.m_work);
    return;
  }
  m_offers.Add(aContext, *submission, probe.m_work.m_index, *best);
}

void
DispatchController::ApplyLoad(const EntryEventContext& aContext,
                              AgentRecord& aAgent,
                              const LoadReport& aLoad)
{
  // Load reports arrive in Announce and in ReportBatch messages, which may take
  // different paths, so they may arrive out of order.
  if (aLoad.m_sequence <= aAgent.m_load.m_sequence) {
    return;
  }
  aAgent.m_load = aLoad;
  aAgent.m_loadReceivedAt = aContext.m_now;
  while (!aAgent.m_unreflectedOffers.empty() &&
         aAgent.m_unreflectedOffers.front().m_sequence <=
           aLoad.m_lastOfferSequence) {
    aAgent.m_unreflectedOffers.pop_front();
  }
}

} // namespace mulberrysail::core
