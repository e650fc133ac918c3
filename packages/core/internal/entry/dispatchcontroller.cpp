#include "core/internal/entry/dispatchcontroller.h"

#include "core/iagent.h"
#include "core/internal/entry/jobpolicy.h"
#include "core/internal/entry/jobsteps.h"
#include "core/internal/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Items at the head of a queue that may be passed over because the agents
 * that they are confined to have no room. */
constexpr std::size_t kMostPassedOver = 32;
/** What is so near to its last useful start goes before everything else. */
constexpr Duration kUrgentBefore = std::chrono::milliseconds(150);
constexpr std::int64_t kUrgentOrder =
  std::numeric_limits<std::int64_t>::min() / 2;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(20);
/** An outcome is overdue after this many times its expected run. */
constexpr int kOverdueFactor = 8;
constexpr Duration kLeastOverdue = std::chrono::seconds(2);
/** Start-by leaves this share of what remains, however long a declaration
 * says that the work will run. */
constexpr int kLeastStartShare = 2;

bool
ConfinedToCandidates(const Submission& aSubmission)
{
  return aSubmission.m_key.has_value() && !aSubmission.m_repeatable;
}

} // namespace

std::vector<AgentRecord*>
KeyCandidates(EntryBoard& aBoard, const Submission& aSubmission)
{
  const CallerKey& key = *aSubmission.m_key;
  std::vector<AgentRecord*> agents =
    aBoard.Service(aSubmission.m_service).m_agents;
  std::erase_if(agents, [&](const AgentRecord* aAgent) {
    return aAgent->m_served.at(aSubmission.m_service) >
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
DispatchController::OrderOf(EntryTurn& aTurn,
                            const Submission& aSubmission,
                            Duration aLength,
                            Duration aWork)
{
  WaitPool& pool = m_board.PoolOf(aSubmission);
  const auto team = m_board.m_config.m_teams.find(aSubmission.m_team);
  const std::uint32_t weight =
    team == m_board.m_config.m_teams.end() ? 1 : team->second.m_weight;
  const double slots = std::max(1.0, pool.m_slots / m_board.Entries());
  const Duration work(
    static_cast<Duration::rep>(static_cast<double>(aWork.count()) / slots));
  const Duration behind =
    pool.m_turns.Book(aTurn.m_now, aSubmission.m_team, weight, work);
  const double age =
    static_cast<double>(aTurn.m_now.time_since_epoch().count()) *
    m_board.m_policy.m_ageingFactor;
  return static_cast<std::int64_t>(age) + aLength.count() - behind.count();
}

Instant
DispatchController::LastUsefulStart(const EntryTurn& aTurn,
                                    const Submission& aSubmission,
                                    const WorkItem& aItem)
{
  const bool begun = std::any_of(
    aSubmission.m_items.begin(), aSubmission.m_items.end(), MayHaveRun);
  // Once some of a job runs, a late answer is better than none.
  const Instant end = begun ? aSubmission.m_deadline : aSubmission.m_due;
  return std::max(end - aItem.m_expectedRun - aItem.m_runsAfter, aTurn.m_now);
}

void
DispatchController::Wait(EntryTurn& aTurn,
                         Submission& aSubmission,
                         std::uint32_t aIndex,
                         std::int64_t aOrder)
{
  WorkItem& item = aSubmission.m_items[aIndex];
  const Duration left =
    std::max(aSubmission.m_deadline - aTurn.m_now, Duration::zero());
  item.m_startBy = aSubmission.m_queue.empty()
                     ? aSubmission.m_deadline -
                         std::min(item.m_expectedRun, left / kLeastStartShare)
                     : LastUsefulStart(aTurn, aSubmission, item);
  item.m_state = WorkState::Waiting;
  item.m_order = aOrder;
  const WorkRef work{ aSubmission.m_id, aIndex };
  m_board.QueueOf(aSubmission).Insert({ aOrder, work }, item.m_expectedRun);
  const Duration urgent =
    aSubmission.m_queue.empty() ? kUrgentBefore : Duration::zero();
  m_board.m_timers.Add(std::max(item.m_startBy - urgent, aTurn.m_now),
                       StartByTimer{ work });
}

void
DispatchController::Enqueue(EntryTurn& aTurn, WorkRef aWork)
{
  Submission* submission = m_board.Find(aWork.m_submission);
  if (submission == nullptr) {
    return;
  }
  WorkItem& item = submission->m_items.at(aWork.m_index);
  // What was refused keeps the place that it had.
  const std::int64_t order =
    item.m_order
      ? *item.m_order
      : OrderOf(aTurn, *submission, item.m_expectedRun, item.m_expectedRun);
  Wait(aTurn, *submission, aWork.m_index, order);
}

void
DispatchController::EnqueueJob(EntryTurn& aTurn, Submission& aJob)
{
  // A job is done when its longest task is, so the long ones go first, and
  // between jobs the one with the least work.
  Duration longest{};
  Duration work{};
  for (const WorkItem& item : aJob.m_items) {
    longest = std::max(longest, item.m_expectedRun);
    work += item.m_expectedRun;
  }
  const Duration spread(
    static_cast<Duration::rep>(static_cast<double>(work.count()) /
                               std::max(m_board.m_tasks.m_slots, 1.0)));
  const std::int64_t order =
    aJob.m_queue.empty() ? OrderOf(aTurn, aJob, std::max(longest, spread), work)
                         : JobOrder(m_board, aJob);
  std::vector<std::uint32_t> ready;
  for (std::uint32_t i = 0; i < aJob.m_items.size(); ++i) {
    if (aJob.m_items[i].m_state == WorkState::Waiting) {
      ready.push_back(i);
    }
  }
  WaitInOrder(aTurn, aJob, ready, order);
}

void
DispatchController::EnqueueReleased(EntryTurn& aTurn,
                                    Submission& aJob,
                                    std::uint32_t aStep)
{
  const std::vector<std::uint32_t> released = ReleasedBy(aJob, aStep);
  if (!released.empty()) {
    // It has begun, so that its later steps go before jobs that have not.
    WaitInOrder(aTurn, aJob, released, JobOrder(m_board, aJob));
  }
}

void
DispatchController::WaitInOrder(EntryTurn& aTurn,
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
    Wait(aTurn, aJob, aItems[rank], aOrder + static_cast<std::int64_t>(rank));
  }
}

void
DispatchController::DispatchAll(EntryTurn& aTurn)
{
  for (auto& [name, service] : m_board.m_services) {
    DispatchRequests(aTurn, name);
  }
  DispatchTasks(aTurn);
}

void
DispatchController::DispatchRequests(EntryTurn& aTurn,
                                     const std::string& aService)
{
  ServiceState& service = m_board.Service(aService);
  Dispatch(aTurn, service.m_requests.m_queue);
  AskForRoom(aTurn, service.m_requests, service.m_agents);
}

void
DispatchController::DispatchTasks(EntryTurn& aTurn)
{
  Dispatch(aTurn, m_board.m_tasks.m_queue);
  AskForRoom(aTurn, m_board.m_tasks, m_board.m_taskAgents);
}

void
DispatchController::AskForRoom(EntryTurn& aTurn,
                               WaitPool& aPool,
                               const std::vector<AgentRecord*>& aAgents)
{
  const Duration lease = m_board.m_policy.m_subscribeFor;
  if (aPool.m_queue.Empty() || lease <= Duration::zero() ||
      aTurn.m_now < aPool.m_askedAt + lease / 2) {
    return;
  }
  aPool.m_askedAt = aTurn.m_now;
  EntryHello hello;
  hello.m_config = m_board.m_config.m_version;
  hello.m_draining = m_board.m_draining;
  hello.m_subscribeFor = lease;
  for (const AgentRecord* agent : aAgents) {
    if (agent->m_reachable) {
      aTurn.Send(agent->m_id, hello);
    }
  }
}

void
DispatchController::Dispatch(EntryTurn& aTurn, WaitQueue& aQueue)
{
  std::size_t passedOver = 0;
  WaitQueue::Keys::const_iterator next = aQueue.Ordered().begin();
  while (next != aQueue.Ordered().end() && passedOver < kMostPassedOver) {
    const WaitKey key = *next;
    const Submission& submission = *m_board.Find(key.m_work.m_submission);
    const bool confined = ConfinedToCandidates(submission);
    const bool refusedBefore = m_board.Find(key.m_work)->m_refusals > 0;
    if (Place(aTurn, key) != Placed::NoRoom) {
      next = aQueue.Ordered().upper_bound(key);
      continue;
    }
    // Others may still be placed if only this one's choice was narrow.
    if (!confined && !refusedBefore && submission.m_kind == WorkKind::Request) {
      return;
    }
    ++passedOver;
    ++next;
  }
}

DispatchController::Placed
DispatchController::Place(EntryTurn& aTurn, const WaitKey& aKey)
{
  Submission& submission = *m_board.Find(aKey.m_work.m_submission);
  const std::uint32_t index = aKey.m_work.m_index;
  WorkItem& item = submission.m_items.at(index);
  WaitQueue& queue = m_board.QueueOf(submission);
  const ProbePlacement* probe =
    std::get_if<ProbePlacement>(&m_board.m_policy.m_placement);
  const bool confined = ConfinedToCandidates(submission);
  if (probe != nullptr && submission.m_kind == WorkKind::Request && !confined) {
    if (m_board.Service(submission.m_service).m_agents.empty()) {
      return Placed::NoRoom;
    }
    queue.Erase(aKey, item.m_expectedRun);
    StartProbe(aTurn, submission, index, probe->m_probes);
    return Placed::Probing;
  }
  AgentRecord* agent = nullptr;
  if (submission.m_kind == WorkKind::Task) {
    agent = m_placement.PickForTask(submission, item);
  } else if (confined) {
    const std::vector<AgentRecord*> candidates =
      KeyCandidates(m_board, submission);
    agent = m_placement.PickForRequest(submission, item, &candidates);
  } else {
    agent = m_placement.PickForRequest(submission, item, nullptr);
  }
  if (agent == nullptr) {
    return Placed::NoRoom;
  }
  queue.Erase(aKey, item.m_expectedRun);
  Offer(aTurn, submission, index, *agent);
  return Placed::Offered;
}

void
DispatchController::Offer(EntryTurn& aTurn,
                          Submission& aSubmission,
                          std::uint32_t aIndex,
                          AgentRecord& aAgent)
{
  WorkItem& item = aSubmission.m_items[aIndex];
  item.m_state = WorkState::Offered;
  item.m_attempt = { m_board.NextId() };
  item.m_agent = aAgent.m_id;
  item.m_offeredAt = aTurn.m_now;
  const WorkRef work{ aSubmission.m_id, aIndex };
  m_board.m_attempts[item.m_attempt] = work;
  aAgent.m_open.insert(item.m_attempt);
  ++item.m_offers;
  ++aAgent.m_offersSent;
  aAgent.m_sentAt = aTurn.m_now;
  ArmHeartbeat(aTurn);
  aAgent.m_unreflected.push_back({ aAgent.m_offersSent,
                                   aSubmission.m_kind,
                                   item.m_expectedRun,
                                   item.m_need });
  ++m_board.m_counters.m_offers;
  if (item.m_refusals == 0) {
    m_board.m_retryBudget.CountFirstAttempt();
  }

  core::Offer offer;
  offer.m_attempt = item.m_attempt;
  offer.m_kind = aSubmission.m_kind;
  offer.m_service = aSubmission.m_service;
  offer.m_team = aSubmission.m_team;
  // Both in the agent's clock, and never later than meant: see AgentRecord.
  offer.m_startBy =
    (aSubmission.m_queue.empty()
       ? item.m_startBy
       : aSubmission.m_deadline - item.m_expectedRun - item.m_runsAfter) +
    aAgent.m_clockOffset;
  offer.m_deadline = aSubmission.m_deadline + aAgent.m_clockOffset;
  offer.m_expectedRun = item.m_expectedRun;
  offer.m_need = item.m_need;
  if (aSubmission.m_kind == WorkKind::Task) {
    offer.m_job = aSubmission.m_id;
  }
  if (ConfinedToCandidates(aSubmission)) {
    offer.m_key = aSubmission.m_key;
  }
  offer.m_payload = item.m_payload;
  offer.m_name = item.m_name;
  offer.m_startNumber = item.m_offers;
  offer.m_requiredLabel = item.m_requiredLabel;
  offer.m_dispatchTime = TurnOf(m_board, aSubmission) + aAgent.m_clockOffset;
  PlacedTasks& placed = m_placed[aSubmission.m_id];
  placed.m_agents += (placed.m_agents.empty() ? "" : ",") + aAgent.m_id.m_name;
  placed.m_oldestLoad =
    std::max(placed.m_oldestLoad, aTurn.m_now - aAgent.m_loadAt);
  ++placed.m_tasks;
  OfferBatch& batch = m_pendingOffers[aAgent.m_id];
  batch.m_agentIncarnation = aAgent.m_id.m_incarnation;
  batch.m_sequence = aAgent.m_offersSent;
  batch.m_offers.push_back(std::move(offer));
  m_board.m_timers.Add(
    aTurn.m_now + std::max(kLeastOverdue, item.m_expectedRun * kOverdueFactor),
    OverdueTimer{ item.m_attempt });
}

void
DispatchController::ArmHeartbeat(EntryTurn& aTurn)
{
  const Duration interval = m_board.m_policy.m_openAttemptHeartbeat;
  if (m_board.m_heartbeatArmed || interval == Duration::zero()) {
    return;
  }
  m_board.m_heartbeatArmed = true;
  m_board.m_timers.Add(aTurn.m_now + interval / 2, HeartbeatTimer{});
}

void
DispatchController::Flush(EntryTurn& aTurn)
{
  for (auto& [agent, batch] : m_pendingOffers) {
    aTurn.Send(agent, std::move(batch));
  }
  m_pendingOffers.clear();
  for (const auto& [id, placed] : std::exchange(m_placed, {})) {
    if (const Submission* submission = m_board.Find(id)) {
      aTurn.Record(EventCode::AttemptOffered,
                   *submission,
                   EventDetail()
                     .Add("tasks", placed.m_tasks)
                     .Add("agents", placed.m_agents)
                     .Add("oldest_load_ms", placed.m_oldestLoad)
                     .Add("waited_ms", aTurn.m_now - submission->m_admittedAt));
    }
  }
}

void
DispatchController::OnStartBy(EntryTurn& aTurn, WorkRef aWork)
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
    // Another task of the job may have been offered meanwhile.
    item.m_startBy = LastUsefulStart(aTurn, *submission, item);
    if (aTurn.m_now < item.m_startBy) {
      m_board.m_timers.Add(item.m_startBy, StartByTimer{ aWork });
      return;
    }
  }
  if (aTurn.m_now >= item.m_startBy) {
    m_answers.Fail(aTurn,
                   *submission,
                   ErrorKind::DeadlinePassedQueued,
                   "it could no longer be done by its deadline");
    return;
  }
  WaitQueue& queue = m_board.QueueOf(*submission);
  queue.Erase({ *item.m_order, aWork }, item.m_expectedRun);
  item.m_order = kUrgentOrder + item.m_startBy.time_since_epoch().count();
  queue.Insert({ *item.m_order, aWork }, item.m_expectedRun);
  m_board.m_timers.Add(item.m_startBy, StartByTimer{ aWork });
  Dispatch(aTurn, queue);
}

void
DispatchController::StartProbe(EntryTurn& aTurn,
                               Submission& aSubmission,
                               std::uint32_t aIndex,
                               std::uint32_t aProbes)
{
  aSubmission.m_items[aIndex].m_state = WorkState::Probing;
  Probe probe;
  probe.m_work = { aSubmission.m_id, aIndex };
  for (const AgentRecord* agent : m_placement.Sample(
         m_board.Service(aSubmission.m_service).m_agents, aProbes)) {
    if (probe.m_asked.insert(agent->m_id).second) {
      probe.m_candidates.push_back(agent->m_id);
      aTurn.Send(agent->m_id, Reconcile{});
    }
  }
  m_board.m_timers.Add(aTurn.m_now + kProbeTimeout, ProbeTimer{ probe.m_work });
  m_board.m_probes.push_back(std::move(probe));
}

void
DispatchController::OnProbeReply(EntryTurn& aTurn, const ProcessId& aAgent)
{
  for (std::size_t i = 0; i < m_board.m_probes.size();) {
    Probe& probe = m_board.m_probes[i];
    probe.m_asked.erase(aAgent);
    if (probe.m_asked.empty()) {
      FinishProbe(aTurn, i);
    } else {
      ++i;
    }
  }
}

void
DispatchController::OnProbeTimer(EntryTurn& aTurn, WorkRef aWork)
{
  for (std::size_t i = 0; i < m_board.m_probes.size(); ++i) {
    if (m_board.m_probes[i].m_work == aWork) {
      FinishProbe(aTurn, i);
      return;
    }
  }
}

void
DispatchController::FinishProbe(EntryTurn& aTurn, std::size_t aProbe)
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
    Enqueue(aTurn, probe.m_work);
    return;
  }
  Offer(aTurn, *submission, probe.m_work.m_index, *best);
}

void
DispatchController::TakeLoad(const EntryTurn& aTurn,
                             AgentRecord& aAgent,
                             const LoadReport& aLoad)
{
  // Reports may overtake each other on different paths.
  if (aLoad.m_sequence <= aAgent.m_load.m_sequence) {
    return;
  }
  aAgent.m_load = aLoad;
  aAgent.m_loadAt = aTurn.m_now;
  while (!aAgent.m_unreflected.empty() &&
         aAgent.m_unreflected.front().m_sequence <= aLoad.m_lastOfferSequence) {
    aAgent.m_unreflected.pop_front();
  }
}

} // namespace mulberrysail::core
