#include "core/internal/agent/incarnations.h"
#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/workerusage.h"

#include <iterator>
#include <map>
#include <utility>

/** The part of Membership that tracks workers. */
namespace mulberrysail::core::agent {

namespace {

/** How long the state of an expired worker is retained that its next
 * announcement must not reset: its breaker, and starts that may still be
 * carried out. */
constexpr Duration kWorkerRetention = std::chrono::seconds(60);

} // namespace

void
Membership::SetWorker(WorkerAnnounced aAnnounced)
{
  if (!RecordAnnounced(m_board, aAnnounced)) {
    return;
  }
  std::map<std::string, Worker, std::less<>>& workers =
    m_board.m_workers.m_workers;
  aAnnounced.m_leaving = IsLeaving(m_board, aAnnounced.m_info.m_name);
  if (aAnnounced.m_leaving && !workers.contains(aAnnounced.m_info.m_name)) {
    return;
  }
  Worker& worker = workers[aAnnounced.m_info.m_name];
  worker.m_announcedBy = { aAnnounced.m_incarnation, aAnnounced.m_startedAtMs };
  worker.m_announcedClock = aAnnounced.m_clock;
  aAnnounced.m_info.m_quarantined = worker.m_info.m_quarantined;
  aAnnounced.m_info.m_failing = worker.m_info.m_failing;
  aAnnounced.m_info.m_warmingUp =
    aAnnounced.m_warmUpRemaining > Duration::zero();
  worker.m_warmUpEnds = m_board.m_now + aAnnounced.m_warmUpRemaining;
  const bool wasLive = IsLive(m_board, worker);
  const bool changed = worker.m_info != aAnnounced.m_info ||
                       worker.m_leaving != aAnnounced.m_leaving || !wasLive;
  worker.m_info = std::move(aAnnounced.m_info);
  worker.m_url = std::move(aAnnounced.m_url);
  worker.m_leaving = aAnnounced.m_leaving;
  worker.m_unreachable = false;
  worker.m_leaseEnds = m_board.m_now + m_board.m_policy.m_workerLease;
  if (aAnnounced.m_hasRunLeases) {
    LeasedRuns(m_board).RecordAnnouncement(worker, aAnnounced);
  }
  WorkerUsage(m_board).ApplyUsage(worker, aAnnounced.m_usage);
  if (changed) {
    m_board.m_workers.m_recheckQueuedTasks = true;
    Record(m_board,
           worker.m_leaving ? EventCode::WorkerLapsed
                            : EventCode::WorkerAnnounced,
           0,
           EventDetail()
             .Add("worker", worker.m_info.m_name)
             .Add("service", worker.m_info.m_service)
             .Add("millicores", worker.m_info.m_capacity.m_milliCores)
             .Add("memory_mb", worker.m_info.m_capacity.m_memoryMb)
             .Add("life", aAnnounced.m_incarnation)
             .Add("runs", worker.m_runningTasks)
             .Add("warm_up_ms", aAnnounced.m_warmUpRemaining));
    ScheduleAnnounceToAll(m_board);
  }
}

void
Membership::SetWorkerLeaving(const WorkerLeft& aLeft)
{
  RecordDeregistered(m_board, aLeft);
  const auto place = m_board.m_workers.m_workers.find(aLeft.m_worker);
  if (place == m_board.m_workers.m_workers.end()) {
    return;
  }
  Worker& worker = place->second;
  const bool otherIncarnation =
    worker.m_leasedRuns &&
    worker.m_leasedRuns->m_tracked.m_incarnation != aLeft.m_incarnation;
  if (otherIncarnation || worker.m_leaving) {
    return;
  }
  worker.m_leaving = true;
  m_board.m_workers.m_recheckQueuedTasks = true;
  Record(m_board,
         EventCode::WorkerLapsed,
         0,
         EventDetail()
           .Add("worker", aLeft.m_worker)
           .Add("cause", "worker reported that it is leaving")
           .Add("runs", worker.m_runningTasks));
  ScheduleAnnounceToAll(m_board);
}

void
Membership::ExpireWorkers()
{
  std::map<std::string, Worker, std::less<>>& workers =
    m_board.m_workers.m_workers;
  for (auto place = workers.begin(); place != workers.end();) {
    Worker& worker = place->second;
    if (worker.m_leaseEnds > m_board.m_now) {
      ++place;
      continue;
    }
    if (!worker.m_leaving) {
      worker.m_leaving = true;
      m_board.m_workers.m_recheckQueuedTasks = true;
      Record(m_board,
             EventCode::WorkerLapsed,
             0,
             EventDetail()
               .Add("worker", worker.m_info.m_name)
               .Add("lease_ended_ms_ago", m_board.m_now - worker.m_leaseEnds)
               .Add("runs", worker.m_runningTasks));
      ScheduleAnnounceToAll(m_board);
    }
    const bool hasForeignRuns =
      worker.m_leasedRuns && worker.m_leasedRuns->m_hasForeignRuns;
    const bool hasUnclearRuns =
      worker.m_leasedRuns && !worker.m_leasedRuns->m_unclearRuns.empty();
    const bool mustBeKept =
      hasUnclearRuns || worker.m_breaker.m_state != BreakerState::Closed;
    const bool remove =
      worker.m_runningTasks == 0 && !hasForeignRuns &&
      (!mustBeKept || m_board.m_now - worker.m_leaseEnds > kWorkerRetention);
    place = remove ? workers.erase(place) : std::next(place);
  }
  RemoveOldAnnouncements(m_board);
}

void
Membership::EndWarmUps()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (worker.m_info.m_warmingUp && worker.m_warmUpEnds <= m_board.m_now) {
      worker.m_info.m_warmingUp = false;
      ScheduleAnnounceToAll(m_board);
    }
  }
}

} // namespace mulberrysail::core::agent
