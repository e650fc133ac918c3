#include "core/internal/agent/starter.h"

#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/outcomes.h"
#include "core/internal/agent/workerusage.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace mulberrysail::core::agent {

namespace {

/** Maximum number of jobs, in order, that are tried in a row without starting a
 * task. */
constexpr int kMaxBackfillJobs = 16;
/** Maximum number of tasks of one job that are tried, longest first. */
constexpr int kMaxBackfillTasks = 4;
/** Once a job has waited for longer than this, no job after it in the order is
 * started before it. */
constexpr Duration kMaxBackfillWait = std::chrono::seconds(1);

bool
CanRunOffer(const WorkerInfo& aWorker, const Offer& aOffer)
{
  return CanRun(
    aWorker, aOffer.m_service, aOffer.m_requiredLabel, aOffer.m_need);
}

double
ShareLeft(std::uint32_t aFree, std::uint32_t aReserved, std::uint32_t aCapacity)
{
  return aCapacity == 0 ? 0.0
                        : static_cast<double>(aFree - aReserved) / aCapacity;
}

/** @return the sum of the shares of the capacity that would be left over; the
 * lowest sum is the best fit. */
double
Leftover(const Worker& aWorker,
         const Resources& aFree,
         const Resources& aReservation)
{
  const Resources& capacity = aWorker.m_info.m_capacity;
  return ShareLeft(aFree.m_milliCores,
                   aReservation.m_milliCores,
                   capacity.m_milliCores) +
         ShareLeft(
           aFree.m_memoryMb, aReservation.m_memoryMb, capacity.m_memoryMb) +
         ShareLeft(aFree.m_accelerators,
                   aReservation.m_accelerators,
                   capacity.m_accelerators);
}

} // namespace

std::uint32_t
FreeSlots(const AgentBoard& aBoard)
{
  const EndpointSection& endpoint = aBoard.m_endpoint;
  if (!EndpointServes(aBoard)) {
    return 0;
  }
  const std::uint32_t slots =
    std::min(endpoint.m_info->m_slots, endpoint.m_info->m_connections);
  return slots > endpoint.m_runningRequests ? slots - endpoint.m_runningRequests
                                            : 0;
}

bool
HasWorkerFor(const AgentBoard& aBoard,
             const Offer& aOffer,
             const std::string& aAvoided)
{
  return std::any_of(aBoard.m_workers.m_workers.begin(),
                     aBoard.m_workers.m_workers.end(),
                     [&](const std::pair<const std::string, Worker>& aEntry) {
                       const Worker& worker = aEntry.second;
                       return aEntry.first != aAvoided &&
                              IsLive(aBoard, worker) &&
                              worker.m_breaker.m_state != BreakerState::Open &&
                              CanRunOffer(worker.m_info, aOffer);
                     });
}

ErrorKind
WhyNoWorkerFor(const AgentBoard& aBoard, const Offer& aOffer)
{
  bool anyLive = false;
  bool canRun = false;
  bool couldRun = false;
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    if (!IsLive(aBoard, worker)) {
      continue;
    }
    WorkerInfo largest = worker.m_info;
    largest.m_capacity =
      aBoard.m_workers.m_announcements.at(name).m_largestCapacity;
    anyLive = true;
    canRun = canRun || CanRunOffer(worker.m_info, aOffer);
    couldRun = couldRun || CanRunOffer(largest, aOffer);
  }
  if (!anyLive || canRun) {
    return ErrorKind::NoEndpoint;
  }
  return couldRun ? ErrorKind::QueueFull : ErrorKind::Unsatisfiable;
}

void
Starter::StartRequests()
{
  RequestQueue& queue = m_board.m_requests;
  while (!queue.m_order.empty() && FreeSlots(m_board) > 0) {
    const Attempt* urgent = Queues(m_board).FirstUrgentRequest();
    Attempt& attempt = urgent != nullptr
                         ? m_board.m_attempts.m_open.at(urgent->m_key)
                         : *queue.m_order.begin()->second;
    Queues(m_board).Remove(attempt);
    ++m_board.m_endpoint.m_runningRequests;
    Start(attempt,
          { WorkKind::Request,
            m_board.m_endpoint.m_info->m_service,
            m_board.m_endpoint.m_url,
            {} },
          std::nullopt);
  }
}

void
Starter::StartTasks()
{
  if (!AcceptsWork(m_board)) {
    return;
  }
  TaskQueue& queue = m_board.m_tasks;
  int tried = 0;
  auto place = queue.m_order.begin();
  while (place != queue.m_order.end() && tried < kMaxBackfillJobs) {
    const JobKey key = place->second;
    const JobQueue& job = queue.m_jobs.at(key);
    const bool blocksLaterJobs =
      m_board.m_now - job.m_receivedAt > kMaxBackfillWait;
    if (StartFromJob(job)) {
      // The start has reduced the queued work of the job, which may have
      // changed the order.
      place = queue.m_order.begin();
      tried = 0;
      continue;
    }
    if (blocksLaterJobs) {
      return;
    }
    ++place;
    ++tried;
  }
}

bool
Starter::StartFromJob(const JobQueue& aJob)
{
  int tried = 0;
  for (const auto& [order, attempt] : aJob.m_tasks) {
    if (StartOnWorker(*attempt)) {
      return true;
    }
    if (++tried == kMaxBackfillTasks) {
      break;
    }
  }
  return false;
}

bool
Starter::StartOnWorker(Attempt& aAttempt)
{
  Worker* worker = BestFit(aAttempt);
  if (worker == nullptr) {
    return false;
  }
  Queues(m_board).Remove(aAttempt);
  aAttempt.m_worker = worker->m_info.m_name;
  aAttempt.m_startedWarmingUp = worker->m_info.m_warmingUp;
  aAttempt.m_reserved =
    WorkerUsage(m_board).ReservationFor(aAttempt.m_offer, *worker);
  AddResources(worker->m_reserved, aAttempt.m_reserved);
  ++worker->m_runningTasks;
  Start(aAttempt,
        TargetOf(*worker,
                 worker->m_leasedRuns
                   ? worker->m_leasedRuns->m_tracked.m_incarnation
                   : std::string()),
        LeasedRuns(m_board).GrantLease(*worker));
  return true;
}

Worker*
Starter::BestFit(const Attempt& aAttempt)
{
  Worker* best = nullptr;
  std::tuple<bool, std::uint32_t, double> bestScore;
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (name == aAttempt.m_worker || worker.m_unreachable ||
        !CanRunOffer(worker.m_info, aAttempt.m_offer)) {
      continue;
    }
    const Resources free = FreeCapacity(m_board, worker);
    const Resources reservation =
      WorkerUsage(m_board).ReservationFor(aAttempt.m_offer, worker);
    if (free == Resources{} || !free.Fits(reservation)) {
      continue;
    }
    const std::tuple<bool, std::uint32_t, double> score{
      worker.m_info.m_warmingUp,
      worker.m_breaker.m_failures,
      Leftover(worker, free, reservation)
    };
    if (best == nullptr || score < bestScore) {
      best = &worker;
      bestScore = score;
    }
  }
  return best;
}

void
Starter::Start(Attempt& aAttempt,
               RunTarget aTarget,
               std::optional<WorkerInstant> aLeaseEndsAt)
{
  AttemptSection& attempts = m_board.m_attempts;
  aAttempt.m_running = true;
  aAttempt.m_startedAt = m_board.m_now;
  aAttempt.m_run = RunId{ attempts.m_runPrefix | attempts.m_nextRun++ };
  aAttempt.m_runName = { aAttempt.m_offer.m_name,
                         aAttempt.m_offer.m_startNumber };
  aAttempt.m_startsSent = 1;
  aAttempt.m_startSentAt = m_board.m_now;
  aAttempt.m_leaseConfirmed = false;
  attempts.m_byRun.emplace(aAttempt.m_run, aAttempt.m_key);
  ++m_board.m_counters.m_started;
  KeyRegistry(m_board).UpdateFate(aAttempt);
  RecordStart(aAttempt, aTarget);
  // The payload of a task is kept, as the task may have to be sent to another
  // worker.
  std::string payload = aTarget.m_kind == WorkKind::Task
                          ? aAttempt.m_offer.m_payload
                          : std::move(aAttempt.m_offer.m_payload);
  m_board.m_commands->push_back(
    StartRun{ aAttempt.m_run,
              std::move(aTarget),
              aAttempt.m_offer.m_need,
              aAttempt.m_offer.m_deadline - m_board.m_now,
              std::move(payload),
              aAttempt.m_runName,
              aLeaseEndsAt });
}

void
Starter::SendAgain(Attempt& aAttempt,
                   RunTarget aTarget,
                   std::optional<WorkerInstant> aLeaseEndsAt)
{
  ++aAttempt.m_startsSent;
  aAttempt.m_startSentAt = m_board.m_now;
  m_board.m_commands->push_back(
    StartRun{ aAttempt.m_run,
              std::move(aTarget),
              aAttempt.m_offer.m_need,
              aAttempt.m_offer.m_deadline - m_board.m_now,
              aAttempt.m_offer.m_payload,
              aAttempt.m_runName,
              aLeaseEndsAt });
}

void
Starter::RecordStart(const Attempt& aAttempt, const RunTarget& aTarget)
{
  EventDetail detail;
  detail.Add("worker", aTarget.m_name)
    .Add("life", aTarget.m_incarnation)
    .Add("start", aAttempt.m_runName.m_startNumber)
    .Add("waited_ms", m_board.m_now - aAttempt.m_receivedAt);
  const auto entry = m_board.m_entries.m_records.find(aAttempt.m_key.m_entry);
  if (entry != m_board.m_entries.m_records.end()) {
    detail.Add("entry", entry->second.m_id.m_name);
  }
  if (aAttempt.m_leaseGrantedAt) {
    detail.Add("offer_age_ms", m_board.m_now - *aAttempt.m_leaseGrantedAt);
  }
  RecordAttempt(m_board,
                EventCode::AttemptStarted,
                aAttempt.m_key.m_attempt,
                aAttempt.m_offer,
                std::move(detail));
}

void
Starter::RefuseUnservable()
{
  if (m_board.m_endpoint.m_recheckQueuedRequests) {
    m_board.m_endpoint.m_recheckQueuedRequests = false;
    RefuseRequests();
  }
  if (m_board.m_workers.m_recheckQueuedTasks) {
    m_board.m_workers.m_recheckQueuedTasks = false;
    RefuseTasks();
  }
}

void
Starter::CountDrainRefusals(std::size_t aQueued)
{
  if (IsZoneDrained(m_board)) {
    m_board.m_counters.m_refusedForDrain += aQueued;
  }
}

void
Starter::RefuseRequests()
{
  CountDrainRefusals(m_board.m_requests.m_order.size());
  std::vector<Attempt*> unservable;
  for (const auto& [order, attempt] : m_board.m_requests.m_order) {
    if (!EndpointServes(m_board) ||
        attempt->m_offer.m_service != m_board.m_endpoint.m_info->m_service) {
      unservable.push_back(attempt);
    }
  }
  for (Attempt* attempt : unservable) {
    Outcomes(m_board).EndQueued(*attempt,
                                AttemptFate::Refused,
                                AcceptsWork(m_board) ? ErrorKind::NoEndpoint
                                                     : ErrorKind::Draining);
  }
}

void
Starter::RefuseTasks()
{
  const bool acceptsWork = AcceptsWork(m_board);
  CountDrainRefusals(m_board.m_tasks.m_size);
  std::vector<Attempt*> unservable;
  for (const auto& [key, job] : m_board.m_tasks.m_jobs) {
    for (const auto& [order, attempt] : job.m_tasks) {
      if (!acceptsWork ||
          !HasWorkerFor(m_board, attempt->m_offer, attempt->m_worker)) {
        unservable.push_back(attempt);
      }
    }
  }
  for (Attempt* attempt : unservable) {
    const bool hasLessCapacity =
      WhyNoWorkerFor(m_board, attempt->m_offer) == ErrorKind::QueueFull;
    const ErrorKind kind = !acceptsWork          ? ErrorKind::Draining
                           : attempt->m_requeued ? ErrorKind::ConnectFailed
                           : hasLessCapacity     ? ErrorKind::QueueFull
                                                 : ErrorKind::NoEndpoint;
    Outcomes(m_board).EndQueued(*attempt, AttemptFate::Refused, kind);
  }
}

void
Starter::RefuseExpired(Instant aUpTo)
{
  while (Attempt* attempt = Queues(m_board).FirstExpired(aUpTo)) {
    const bool deadline =
      attempt->m_offer.m_deadline < attempt->m_offer.m_startBy;
    Outcomes(m_board).EndQueued(*attempt,
                                AttemptFate::Refused,
                                deadline ? ErrorKind::DeadlinePassedQueued
                                         : ErrorKind::AttemptExpired);
  }
}

} // namespace mulberrysail::core::agent
