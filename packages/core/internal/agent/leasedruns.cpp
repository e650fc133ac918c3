#include "core/internal/agent/leasedruns.h"

#include "core/internal/agent/breakers.h"
#include "core/internal/agent/crashlog.h"
#include "core/internal/agent/incarnations.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/runs.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace mulberrysail::core::agent {

namespace {

/** Maximum fraction by which a worker's clock is slower than the agent's. */
constexpr double kMaxClockDrift = 0.03;
/** Minimum time before an unanswered observation or an unconfirmed stop command
 * is sent again. */
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
/** Maximum time a worker takes to end a run after its lease expires or it is
 * stopped. */
constexpr Duration kMaxEndDelay = std::chrono::milliseconds(50);

/** @return the latest time at which a run can end if its lease was started or
 * renewed by a message sent at @p aSent. */
Instant
LatestEndOf(Instant aSent, Duration aLease)
{
  const Duration drift(static_cast<Duration::rep>(
    static_cast<double>(aLease.count()) * kMaxClockDrift));
  return aSent + aLease + drift + kMaxEndDelay;
}

RunTarget
TargetOf(const Worker& aWorker, const std::string& aIncarnation)
{
  return { WorkKind::Task, aWorker.m_info.m_name, aWorker.m_url, aIncarnation };
}

bool
ShouldStop(const AgentBoard& aBoard, const Attempt& aAttempt)
{
  return aAttempt.m_stopRequested ||
         aAttempt.m_offer.m_deadline <= aBoard.m_now;
}

} // namespace

void
LeasedRuns::SetAnnouncedIncarnation(Worker& aWorker,
                                    const std::string& aIncarnation,
                                    std::uint64_t aStartedAtMs)
{
  if (!aWorker.m_leasedRuns) {
    aWorker.m_leasedRuns.emplace();
    aWorker.m_leasedRuns->m_incarnation = aIncarnation;
  }
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_announcedIncarnation = aIncarnation;
  if (state.m_incarnation != aIncarnation && state.m_incarnation.empty()) {
    state.m_incarnation = aIncarnation;
  }
  if (state.m_incarnation == aIncarnation) {
    CheckRestart(state, aStartedAtMs);
  }
}

void
LeasedRuns::ExtendRunsEndBy(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_runsEndBy = std::max(
    state.m_runsEndBy, LatestEndOf(m_board.m_now, m_board.m_policy.m_runLease));
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

void
LeasedRuns::RecordStartResult(EventCode aCode,
                              const Attempt& aAttempt,
                              const StartAnswered& aAnswer)
{
  RecordAttempt(m_board,
                aCode,
                aAttempt.m_key.m_attempt,
                aAttempt.m_offer,
                EventDetail()
                  .Add("worker", aAttempt.m_worker)
                  .Add("start", aAttempt.m_runName.m_startNumber)
                  .Add("asked_ms_ago", m_board.m_now - aAttempt.m_startedAt)
                  .Add("cause", aAnswer.m_detail));
}

void
LeasedRuns::Handle(const StartAnswered& aAnswer)
{
  const auto run = m_board.m_attempts.m_byRun.find(aAnswer.m_run);
  if (run == m_board.m_attempts.m_byRun.end()) {
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  Worker& worker = m_board.m_workers.m_workers.at(attempt.m_worker);
  if (aAnswer.m_result != StartResult::NoAnswer &&
      aAnswer.m_result != StartResult::OtherIncarnation) {
    worker.m_leasedRuns->m_lastAnswerAt = m_board.m_now;
  }
  switch (aAnswer.m_result) {
    case StartResult::Started:
      attempt.m_acceptedAt = attempt.m_acceptedAt.value_or(m_board.m_now);
      return;
    case StartResult::Rejected:
      RecordStartResult(EventCode::RunRejected, attempt, aAnswer);
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::Unhealthy:
      RecordStartResult(EventCode::RunRejected, attempt, aAnswer);
      Breakers(m_board).RecordFailureAndCheckRetry(worker, attempt);
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::OtherIncarnation:
      EndIncarnation(worker);
      return;
    case StartResult::NoAnswer:
      if (attempt.m_acceptedAt) {
        // An observation has listed the run in the meantime.
        return;
      }
      RecordStartResult(EventCode::RunUnclear, attempt, aAnswer);
      Breakers(m_board).RecordFailureAndCheckRetry(worker, attempt);
      Stop(attempt);
      return;
  }
}

void
LeasedRuns::Handle(const StopAnswered& aAnswer)
{
  const auto run = m_board.m_attempts.m_byRun.find(aAnswer.m_run);
  if (run == m_board.m_attempts.m_byRun.end() || !aAnswer.m_confirmed) {
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  attempt.m_stopConfirmedAt = attempt.m_stopConfirmedAt.value_or(m_board.m_now);
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
  m_board.m_commands->push_back(StopRun{
    aAttempt.m_run,
    TargetOf(worker->second, worker->second.m_leasedRuns->m_incarnation),
    aAttempt.m_runName });
}

void
LeasedRuns::Handle(const RunsObserved& aObserved)
{
  const auto place = m_board.m_workers.m_workers.find(aObserved.m_worker);
  if (place == m_board.m_workers.m_workers.end() ||
      !place->second.m_leasedRuns) {
    return;
  }
  Worker& worker = place->second;
  LeasedRunState& state = *worker.m_leasedRuns;
  if (aObserved.m_observationId != state.m_observationId) {
    return;
  }
  state.m_observationId = 0;
  const bool ofTrackedIncarnation =
    aObserved.m_incarnation == state.m_incarnation;
  switch (aObserved.m_result) {
    case ObserveResult::Observed:
      if (!ofTrackedIncarnation) {
        // The answer is from another incarnation than the tracked one.
        FinishAsCrashed(worker, "another incarnation answered", true);
        RecordEnded(worker, state.m_incarnation);
        const Instant sentAt = state.m_observationSentAt;
        state = LeasedRunState{};
        state.m_incarnation = aObserved.m_incarnation;
        state.m_announcedIncarnation = aObserved.m_incarnation;
        state.m_observationSentAt = sentAt;
      }
      if (aObserved.m_startedAtMs < state.m_startedAtMs &&
          aObserved.m_startedAtMs != 0) {
        // The answer was sent before the worker started again.
        return;
      }
      CheckRestart(state, aObserved.m_startedAtMs);
      SetResponsive(worker, true);
      ProcessEndedRuns(worker, aObserved);
      ProcessActiveRuns(worker, aObserved);
      state.m_lastAnswerAt = m_board.m_now;
      state.m_observed = true;
      return;
    case ObserveResult::OtherIncarnation:
      RecordEnded(worker, aObserved.m_incarnation);
      if (ofTrackedIncarnation) {
        EndIncarnation(worker);
      } else {
        // The announced incarnation no longer exists, so the tracked one stays.
        state.m_announcedIncarnation = state.m_incarnation;
      }
      return;
    case ObserveResult::NoAnswer:
      SetResponsive(worker, false);
      state.m_nextObservation = m_board.m_now + kRetryInterval;
      return;
  }
}

void
LeasedRuns::SetResponsive(Worker& aWorker, bool aResponsive)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (state.m_responsive == aResponsive) {
    return;
  }
  state.m_responsive = aResponsive;
  // Entries must not count on the capacity of an unresponsive worker.
  aWorker.m_info.m_quarantined =
    !aResponsive || aWorker.m_breaker.m_state == BreakerState::Open;
  ScheduleAnnounceToAll(m_board);
}

void
LeasedRuns::ProcessEndedRuns(Worker& aWorker, const RunsObserved& aObserved)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  std::map<RunName, RunId> known;
  for (const Attempt* attempt : RunsOn(aWorker)) {
    known.emplace(attempt->m_runName, attempt->m_run);
  }
  for (const EndedRun& ended : aObserved.m_ended) {
    if (ended.m_number <= state.m_lastEnd) {
      continue;
    }
    state.m_lastEnd = ended.m_number;
    const auto run = known.find(ended.m_name);
    if (run == known.end()) {
      continue;
    }
    switch (ended.m_end) {
      case RunEnd::Completed:
        Finish(run->second, RunOutcome::Completed);
        break;
      case RunEnd::Failed:
        Finish(run->second, RunOutcome::Failed);
        break;
      case RunEnd::Interrupted:
        Finish(run->second, RunOutcome::Interrupted);
        break;
    }
  }
}

void
LeasedRuns::ProcessActiveRuns(Worker& aWorker, const RunsObserved& aObserved)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  std::set<RunName> running(aObserved.m_running.begin(),
                            aObserved.m_running.end());
  if (std::exchange(state.m_hasRestarted, false)) {
    RecordRestart(aWorker, running);
  }
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (running.erase(attempt->m_runName) != 0) {
      attempt->m_acceptedAt =
        attempt->m_acceptedAt.value_or(state.m_observationSentAt);
      continue;
    }
    if (attempt->m_stopConfirmedAt &&
        *attempt->m_stopConfirmedAt <= state.m_observationSentAt) {
      Finish(attempt->m_run,
             attempt->m_acceptedAt ? RunOutcome::Interrupted
                                   : RunOutcome::NotStarted);
    } else if (attempt->m_acceptedAt &&
               *attempt->m_acceptedAt < state.m_observationSentAt) {
      Finish(attempt->m_run, RunOutcome::Interrupted);
    }
  }
  state.m_hasForeignRuns = !running.empty();
  for (const RunName& foreign : running) {
    Record(m_board,
           EventCode::ForeignRunStopped,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("start", foreign.m_startNumber),
           foreign.m_task);
    m_board.m_commands->push_back(
      StopRun{ {}, TargetOf(aWorker, state.m_incarnation), foreign });
  }
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
           .Add("life", aWorker.m_leasedRuns->m_incarnation)
           .Add("runs", aWorker.m_runningTasks));
  FinishAsCrashed(aWorker, "the incarnation has ended", true);
  const std::string announcedIncarnation =
    aWorker.m_leasedRuns->m_announcedIncarnation;
  const bool hasNewIncarnation =
    announcedIncarnation != aWorker.m_leasedRuns->m_incarnation;
  aWorker.m_leasedRuns.emplace();
  aWorker.m_leasedRuns->m_incarnation =
    hasNewIncarnation ? announcedIncarnation : "";
  aWorker.m_leasedRuns->m_announcedIncarnation =
    aWorker.m_leasedRuns->m_incarnation;
  aWorker.m_leaving = !hasNewIncarnation;
  m_board.m_workers.m_recheckQueuedTasks = true;
  ScheduleAnnounceToAll(m_board);
}

void
LeasedRuns::ProcessDue()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (worker.m_leasedRuns && !worker.m_leasedRuns->m_incarnation.empty()) {
      ProcessWorker(worker);
    }
  }
}

void
LeasedRuns::ProcessWorker(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (!state.m_responsive && state.m_observed &&
      state.m_runsEndBy <= m_board.m_now && aWorker.m_runningTasks > 0) {
    Record(m_board,
           EventCode::RunsLapsed,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("runs", aWorker.m_runningTasks)
             .Add("lease_ended_ms_ago", m_board.m_now - state.m_runsEndBy));
    FinishAsCrashed(aWorker, "the run leases have expired", false);
  }
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (ShouldStop(m_board, *attempt) && !attempt->m_stopConfirmedAt) {
      Stop(*attempt);
    }
  }
  if (m_board.m_now < state.m_nextObservation ||
      (state.m_observationId != 0 && !NeedsNewObservation(aWorker))) {
    return;
  }
  // Only an answer makes a worker responsive again, also one without runs.
  const bool mayRespondAgain = !state.m_responsive && IsLive(m_board, aWorker);
  if (state.m_announcedIncarnation != state.m_incarnation) {
    Observe(aWorker, state.m_announcedIncarnation);
  } else if (!state.m_observed || state.m_hasForeignRuns ||
             aWorker.m_runningTasks > 0 ||
             state.m_acknowledgedRun < state.m_lastEnd || mayRespondAgain) {
    Observe(aWorker, state.m_incarnation);
  }
}

bool
LeasedRuns::NeedsNewObservation(const Worker& aWorker)
{
  const std::vector<Attempt*> runs = RunsOn(aWorker);
  return std::any_of(runs.begin(), runs.end(), [&](const Attempt* aAttempt) {
    return aAttempt->m_stopConfirmedAt &&
           *aAttempt->m_stopConfirmedAt >
             aWorker.m_leasedRuns->m_observationSentAt;
  });
}

void
LeasedRuns::Observe(Worker& aWorker, const std::string& aIncarnation)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  ObserveRuns observe;
  observe.m_target = TargetOf(aWorker, aIncarnation);
  observe.m_observationId = m_board.m_workers.m_nextTicket++;
  if (aIncarnation == state.m_incarnation) {
    observe.m_acknowledgedRun = state.m_lastEnd;
    state.m_acknowledgedRun = state.m_lastEnd;
    // A renewal extends all runs on the worker, so it is sent only after an
    // observation has shown that all of them are of this agent incarnation.
    const bool onlyOwnRuns = state.m_responsive && !state.m_hasForeignRuns;
    if (onlyOwnRuns && aWorker.m_runningTasks > 0) {
      observe.m_renewFor = m_board.m_policy.m_runLease;
      observe.m_decidedAt = m_board.m_now;
      observe.m_wait = NeedsNewObservation(aWorker)
                         ? Duration::zero()
                         : m_board.m_policy.m_observeWait;
      ExtendRunsEndBy(aWorker);
    }
  }
  state.m_observationId = observe.m_observationId;
  state.m_observationSentAt = m_board.m_now;
  m_board.m_commands->push_back(std::move(observe));
}

Instant
LeasedRuns::NextDue(const AgentBoard& aBoard)
{
  Instant due = kNever;
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    if (!worker.m_leasedRuns || worker.m_leasedRuns->m_incarnation.empty()) {
      continue;
    }
    const LeasedRunState& state = *worker.m_leasedRuns;
    if (state.m_observationId == 0 && state.m_nextObservation > aBoard.m_now) {
      due = std::min(due, state.m_nextObservation);
    }
    if (!state.m_responsive && worker.m_runningTasks > 0 &&
        state.m_runsEndBy > aBoard.m_now) {
      due = std::min(due, state.m_runsEndBy);
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
