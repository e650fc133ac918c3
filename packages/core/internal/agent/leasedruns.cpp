#include "core/internal/agent/leasedruns.h"

#include "core/internal/agent/crashlog.h"
#include "core/internal/agent/fencing.h"
#include "core/internal/agent/incarnations.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/runs.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberrysail::core::agent {

namespace {

/** How often the start of a run is sent if it gets no answer. Sent again, it
 * costs one wait for an answer; a stop, its proof and another placement cost
 * several. */
constexpr std::uint32_t kMaxStartsSent = 3;

bool
ShouldStop(const AgentBoard& aBoard, const Attempt& aAttempt)
{
  return aAttempt.m_stopRequested ||
         aAttempt.m_offer.m_deadline <= aBoard.m_now;
}

} // namespace

RunTarget
TargetOf(const Worker& aWorker, const std::string& aIncarnation)
{
  return { WorkKind::Task,
           aWorker.m_info.m_name,
           aWorker.m_url,
           aIncarnation,
           aWorker.m_fencingToken };
}

bool
CanStartRuns(const AgentBoard& aBoard, const Worker& aWorker)
{
  if (!aWorker.m_leasedRuns) {
    return true;
  }
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  return HasCurrentAnnouncement(aWorker) && state.m_observed &&
         state.m_responsive && IsFenced(aWorker) && !state.m_hasForeignRuns &&
         state.m_unclearRuns.empty() && state.m_clock.IsPrecise(aBoard.m_now);
}

std::vector<Attempt*>
LeasedRuns::RunsOn(const Worker& aWorker)
{
  std::vector<Attempt*> runs;
  for (const auto& [run, key] : m_board.m_attempts.m_byRun) {
    Attempt& attempt = m_board.m_attempts.m_open.at(key);
    if (attempt.m_worker == aWorker.m_info.m_name) {
      runs.push_back(&attempt);
    }
  }
  std::sort(
    runs.begin(), runs.end(), [](const Attempt* aLeft, const Attempt* aRight) {
      return aLeft->m_run < aRight->m_run;
    });
  return runs;
}

void
LeasedRuns::Finish(RunId aRun, RunOutcome aOutcome)
{
  Runs(m_board).Finish({ aRun, aOutcome, {} });
}

bool
LeasedRuns::CanStartAgain(const Worker& aWorker, const Attempt& aAttempt)
{
  return aAttempt.m_startsSent < kMaxStartsSent &&
         CanStartRuns(m_board, aWorker) &&
         aWorker.m_breaker.m_state != BreakerState::Open &&
         aWorker.m_info.m_capacity.Fits(aWorker.m_reserved) &&
         CanRun(aWorker.m_info,
                aAttempt.m_offer.m_service,
                aAttempt.m_offer.m_requiredLabel,
                aAttempt.m_offer.m_need) &&
         IsLive(m_board, aWorker) && AcceptsWork(m_board) &&
         !ShouldStop(m_board, aAttempt);
}

void
LeasedRuns::Stop(Attempt& aAttempt)
{
  const auto worker = m_board.m_workers.m_workers.find(aAttempt.m_worker);
  const bool sentLately =
    aAttempt.m_stopSentAt &&
    m_board.m_now - *aAttempt.m_stopSentAt < kRetryInterval;
  if (worker == m_board.m_workers.m_workers.end() || sentLately) {
    return;
  }
  aAttempt.m_stopRequested = true;
  aAttempt.m_stopSentAt = m_board.m_now;
  m_board.m_commands->push_back(
    StopRun{ aAttempt.m_run,
             TargetOf(worker->second,
                      worker->second.m_leasedRuns->m_tracked.m_incarnation),
             aAttempt.m_runName });
}

void
LeasedRuns::RecordRestart(const Worker& aWorker,
                          const std::set<RunName>& aRunning)
{
  std::vector<Attempt*> lost = RunsOn(aWorker);
  std::erase_if(lost, [&](const Attempt* aAttempt) {
    return aRunning.contains(aAttempt->m_runName) || !aAttempt->m_acceptedAt ||
           *aAttempt->m_acceptedAt >= aWorker.m_leasedRuns->m_observationSentAt;
  });
  CrashLog(m_board).Record(aWorker, lost, "the worker has started again", true);
  CrashLog(m_board).Confirm(aWorker);
}

void
LeasedRuns::FinishAsCrashed(Worker& aWorker,
                            std::string_view aCause,
                            bool aIsConfirmed)
{
  const std::vector<Attempt*> runs = RunsOn(aWorker);
  // A worker that leaves ends the runs that are left; they aren't the cause.
  if (!aWorker.m_leaving) {
    CrashLog(m_board).Record(aWorker, runs, aCause, aIsConfirmed);
  }
  if (aIsConfirmed) {
    CrashLog(m_board).Confirm(aWorker);
  }
  for (const Attempt* const attempt : runs) {
    Finish(attempt->m_run, RunOutcome::Interrupted);
  }
}

void
LeasedRuns::EndIncarnation(Worker& aWorker)
{
  Record(m_board,
         EventCode::WorkerLapsed,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("life", aWorker.m_leasedRuns->m_tracked.m_incarnation)
           .Add("runs", aWorker.m_runningTasks));
  FinishAsCrashed(aWorker, "the incarnation has ended", true);
  const std::string announcedIncarnation =
    aWorker.m_leasedRuns->m_announcedIncarnation;
  const bool hasNewIncarnation =
    announcedIncarnation != aWorker.m_leasedRuns->m_tracked.m_incarnation;
  aWorker.m_leasedRuns.emplace();
  aWorker.m_leasedRuns->m_tracked.m_incarnation =
    hasNewIncarnation ? announcedIncarnation : "";
  aWorker.m_leasedRuns->m_announcedIncarnation =
    aWorker.m_leasedRuns->m_tracked.m_incarnation;
  aWorker.m_leaving = !hasNewIncarnation;
  // If the worker comes back under the same id, its earlier start is unknown.
  RaiseFencingToken(m_board, aWorker, "the incarnation has ended");
  m_board.m_workers.m_recheckQueuedTasks = true;
  ScheduleAnnounceToAll(m_board);
}

void
LeasedRuns::ProcessDue()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (worker.m_leasedRuns &&
        !worker.m_leasedRuns->m_tracked.m_incarnation.empty()) {
      ProcessWorker(worker);
    }
  }
}

void
LeasedRuns::ProcessWorker(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (!state.m_responsive && state.m_observed && aWorker.m_runningTasks > 0 &&
      RunsEndBy(m_board, aWorker) <= m_board.m_now) {
    FinishLapsed(aWorker);
  }
  StopUnclearRuns(aWorker);
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (ShouldStop(m_board, *attempt) && !attempt->m_stopConfirmedAt) {
      Stop(*attempt);
    }
  }
  if (m_board.m_now < state.m_nextObservation ||
      (!state.m_pending.empty() && !MustObserveAgain(aWorker))) {
    return;
  }
  if (state.m_announcedIncarnation != state.m_tracked.m_incarnation) {
    Observe(aWorker, state.m_announcedIncarnation);
  } else if (MustObserve(aWorker)) {
    Observe(aWorker, state.m_tracked.m_incarnation);
  }
}

void
LeasedRuns::FinishLapsed(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  Record(
    m_board,
    EventCode::RunsLapsed,
    0,
    EventDetail()
      .Add("worker", aWorker.m_info.m_name)
      .Add("runs", aWorker.m_runningTasks)
      .Add("lease_ended_ms_ago", m_board.m_now - RunsEndBy(m_board, aWorker)));
  for (const Attempt* const attempt : RunsOn(aWorker)) {
    if (!attempt->m_acceptedAt && !attempt->m_stopConfirmedAt) {
      state.m_unclearRuns.emplace(attempt->m_run,
                                  UnclearRun{ attempt->m_runName, {} });
    }
  }
  FinishAsCrashed(aWorker, "the run leases have expired", false);
}

void
LeasedRuns::StopUnclearRuns(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (!state.m_responsive) {
    return;
  }
  for (auto& [run, unclear] : state.m_unclearRuns) {
    if (!unclear.m_stopSentAt ||
        *unclear.m_stopSentAt + kRetryInterval <= m_board.m_now) {
      unclear.m_stopSentAt = m_board.m_now;
      m_board.m_commands->push_back(
        StopRun{ run,
                 TargetOf(aWorker, state.m_tracked.m_incarnation),
                 unclear.m_name });
    }
  }
}

bool
LeasedRuns::MustObserve(const Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  // Only an answer makes a worker responsive again, also one without runs.
  const bool isSilent = !state.m_responsive && IsLive(m_board, aWorker);
  const bool isUnfenced = !IsFenced(aWorker) && IsLive(m_board, aWorker);
  const bool needsClock =
    state.m_clock.NeedsReading(m_board.m_now) && IsLive(m_board, aWorker);
  return !state.m_observed || isUnfenced || state.m_hasForeignRuns ||
         isSilent || needsClock || aWorker.m_runningTasks > 0 ||
         state.m_acknowledgedRun < state.m_lastEnd;
}

Instant
LeasedRuns::NextDue(const AgentBoard& aBoard)
{
  Instant due = kNever;
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    if (!worker.m_leasedRuns ||
        worker.m_leasedRuns->m_tracked.m_incarnation.empty()) {
      continue;
    }
    const LeasedRunState& state = *worker.m_leasedRuns;
    if (state.m_nextObservation > aBoard.m_now) {
      due = std::min(due, state.m_nextObservation);
    }
    if (state.m_clock.RefreshDueAt() > aBoard.m_now && IsLive(aBoard, worker)) {
      due = std::min(due, state.m_clock.RefreshDueAt());
    }
    if (!state.m_pending.empty() &&
        state.m_pending.back().m_answerDueAt > aBoard.m_now) {
      due = std::min(due, state.m_pending.back().m_answerDueAt);
    }
    if (!state.m_responsive && worker.m_runningTasks > 0) {
      const Instant runsEndBy = RunsEndBy(aBoard, worker);
      due = runsEndBy > aBoard.m_now ? std::min(due, runsEndBy) : due;
    }
    for (const auto& [run, unclear] : state.m_unclearRuns) {
      if (state.m_responsive && unclear.m_stopSentAt) {
        due = std::min(due, *unclear.m_stopSentAt + kRetryInterval);
      }
    }
  }
  for (const auto& [run, key] : aBoard.m_attempts.m_byRun) {
    const Attempt& attempt = aBoard.m_attempts.m_open.at(key);
    const auto worker = aBoard.m_workers.m_workers.find(attempt.m_worker);
    const bool leased = worker != aBoard.m_workers.m_workers.end() &&
                        worker->second.m_leasedRuns.has_value();
    if (!leased || attempt.m_stopConfirmedAt) {
      continue;
    }
    const Instant stopAt = attempt.m_stopSentAt
                             ? *attempt.m_stopSentAt + kRetryInterval
                             : attempt.m_offer.m_deadline;
    due = std::min(due, std::max(stopAt, aBoard.m_now + Duration(1)));
  }
  return due;
}

} // namespace mulberrysail::core::agent
