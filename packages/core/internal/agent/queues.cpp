#include "core/internal/agent/queues.h"

#include <algorithm>
#include <cmath>

namespace mulberrysail::core::agent {

namespace {

constexpr std::int64_t kMilli = 1000;
/** A request that expires within this time is started before all others. */
constexpr Duration kUrgentBefore = std::chrono::milliseconds(250);

/** Ageing subtracts waiting time * m_ageingFactor from the sort key. Adding
 * arrival time * m_ageingFactor once gives the same order without updates while
 * attempts wait. */
QueueSortKey
AgedOrder(const AgentBoard& aBoard,
          Duration aWork,
          Instant aReceivedAt,
          std::uint64_t aSequence)
{
  const double arrivalOffset =
    aBoard.m_policy.m_ageingFactor *
    static_cast<double>((aReceivedAt - aBoard.m_startedAt).count());
  return { aWork.count() + std::llround(arrivalOffset), aSequence };
}

JobKey
JobOf(const Attempt& aAttempt)
{
  return { aAttempt.m_key.m_entry, aAttempt.m_offer.m_job };
}

QueueSortKey
LongestFirstOrder(const Attempt& aAttempt)
{
  return { -aAttempt.m_offer.m_expectedRun.count(), aAttempt.m_sequence };
}

} // namespace

Duration
CoreTime(const Offer& aOffer)
{
  return aOffer.m_expectedRun * aOffer.m_need.m_milliCores / kMilli;
}

Instant
ExpiryOf(const Offer& aOffer)
{
  return std::min(aOffer.m_startBy, aOffer.m_deadline);
}

void
Queues::Add(Attempt& aAttempt)
{
  m_board.m_expiry.emplace(
    std::pair(ExpiryOf(aAttempt.m_offer), aAttempt.m_sequence), &aAttempt);
  if (aAttempt.m_offer.m_kind == WorkKind::Request) {
    AddRequest(aAttempt);
  } else {
    AddTask(aAttempt);
  }
}

void
Queues::Remove(Attempt& aAttempt)
{
  m_board.m_expiry.erase(
    std::pair(ExpiryOf(aAttempt.m_offer), aAttempt.m_sequence));
  if (aAttempt.m_offer.m_kind == WorkKind::Request) {
    RemoveRequest(aAttempt);
  } else {
    RemoveTask(aAttempt);
  }
}

Attempt*
Queues::FirstExpired(Instant aUpTo) const
{
  const auto first = m_board.m_expiry.begin();
  if (first == m_board.m_expiry.end() || first->first.first > aUpTo) {
    return nullptr;
  }
  return first->second;
}

const Attempt*
Queues::FirstUrgentRequest() const
{
  const Instant until = m_board.m_now + kUrgentBefore;
  for (const auto& [key, attempt] : m_board.m_expiry) {
    if (key.first > until) {
      return nullptr;
    }
    if (attempt->m_offer.m_kind == WorkKind::Request) {
      return attempt;
    }
  }
  return nullptr;
}

void
Queues::AddRequest(Attempt& aAttempt)
{
  const Duration work = aAttempt.m_offer.m_expectedRun;
  m_board.m_requests.m_order.emplace(
    AgedOrder(m_board, work, aAttempt.m_receivedAt, aAttempt.m_sequence),
    &aAttempt);
  m_board.m_requests.m_work += work;
}

void
Queues::RemoveRequest(Attempt& aAttempt)
{
  const Duration work = aAttempt.m_offer.m_expectedRun;
  m_board.m_requests.m_order.erase(
    AgedOrder(m_board, work, aAttempt.m_receivedAt, aAttempt.m_sequence));
  m_board.m_requests.m_work -= work;
}

void
Queues::AddTask(Attempt& aAttempt)
{
  TaskQueue& queue = m_board.m_tasks;
  const JobKey key = JobOf(aAttempt);
  const auto [place, isNew] = queue.m_jobs.try_emplace(key);
  JobQueue& job = place->second;
  if (isNew) {
    job.m_receivedAt = aAttempt.m_receivedAt;
    job.m_sequence = aAttempt.m_sequence;
  }
  job.m_tasks.emplace(LongestFirstOrder(aAttempt), &aAttempt);
  job.m_work += aAttempt.m_offer.m_expectedRun;
  queue.m_coreTime += CoreTime(aAttempt.m_offer);
  ++queue.m_size;
  Reorder(key, job);
}

void
Queues::RemoveTask(Attempt& aAttempt)
{
  TaskQueue& queue = m_board.m_tasks;
  const JobKey key = JobOf(aAttempt);
  const auto place = queue.m_jobs.find(key);
  JobQueue& job = place->second;
  job.m_tasks.erase(LongestFirstOrder(aAttempt));
  job.m_work -= aAttempt.m_offer.m_expectedRun;
  queue.m_coreTime -= CoreTime(aAttempt.m_offer);
  --queue.m_size;
  if (job.m_tasks.empty()) {
    queue.m_order.erase(job.m_sortKey);
    queue.m_jobs.erase(place);
    return;
  }
  Reorder(key, job);
}

void
Queues::Reorder(const JobKey& aKey, JobQueue& aJob)
{
  m_board.m_tasks.m_order.erase(aJob.m_sortKey);
  const Offer& first = aJob.m_tasks.begin()->second->m_offer;
  // A task with a name comes from a caller's queue; jobs of such tasks are
  // ordered by Offer::m_dispatchTime instead of expected run time.
  aJob.m_sortKey =
    first.m_name.empty()
      ? AgedOrder(m_board, aJob.m_work, aJob.m_receivedAt, aJob.m_sequence)
      : QueueSortKey{ first.m_dispatchTime.time_since_epoch().count(),
                      aJob.m_sequence };
  m_board.m_tasks.m_order.emplace(aJob.m_sortKey, aKey);
}

} // namespace mulberrysail::core::agent
