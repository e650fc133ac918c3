#include "core/internal/agent/breakers.h"
#include "core/internal/agent/fencing.h"
#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/starter.h"

/** The part of LeasedRuns that handles the answers to starts and stops. */
namespace mulberrysail::core::agent {

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
    RecordAnswer(worker);
    Breakers(m_board).RecordAnsweredStart(worker);
    RecordClockOfStart(worker, attempt, aAnswer.m_clock);
  }
  switch (aAnswer.m_result) {
    case StartResult::Started:
      attempt.m_acceptedAt = attempt.m_acceptedAt.value_or(m_board.m_now);
      return;
    case StartResult::Rejected:
      RecordStartResult(EventCode::RunRejected, attempt, aAnswer);
      if (attempt.m_startsSent > 1) {
        // An earlier start of the run may have been carried out.
        Stop(attempt);
        return;
      }
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::Unhealthy:
      RecordStartResult(EventCode::RunRejected, attempt, aAnswer);
      Breakers(m_board).RecordFailureAndCheckRetry(worker, attempt);
      if (attempt.m_startsSent > 1) {
        Stop(attempt);
        return;
      }
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::Fenced:
      RecordStartResult(EventCode::RunRejected, attempt, aAnswer);
      RaiseFencingToken(m_board, worker, "the worker has rejected a start");
      if (attempt.m_startsSent > 1) {
        Stop(attempt);
        return;
      }
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
      HandleUnansweredStart(worker, attempt);
      return;
  }
}

void
LeasedRuns::RecordClockOfStart(Worker& aWorker,
                               Attempt& aAttempt,
                               std::optional<WorkerInstant> aClock)
{
  const bool isOfTrackedStart =
    aAttempt.m_startSentAt > aWorker.m_leasedRuns->m_restartKnownAt;
  if (!aClock || !isOfTrackedStart) {
    return;
  }
  const bool fits =
    RecordAnsweredClock(aWorker, *aClock, aAttempt.m_startSentAt);
  aAttempt.m_leaseConfirmed = aAttempt.m_leaseConfirmed || fits;
}

void
LeasedRuns::HandleUnansweredStart(Worker& aWorker, Attempt& aAttempt)
{
  RecordUnansweredStart(aWorker);
  if (!CanStartAgain(aWorker, aAttempt)) {
    Stop(aAttempt);
    return;
  }
  Starter(m_board).SendAgain(
    aAttempt,
    TargetOf(aWorker, aWorker.m_leasedRuns->m_tracked.m_incarnation),
    GrantLease(aWorker));
}

void
LeasedRuns::RecordAnswer(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_lastAnswerAt = m_board.m_now;
  state.m_unansweredStarts = 0;
}

void
LeasedRuns::RecordUnansweredStart(Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_lastLossAt = m_board.m_now;
  Breakers(m_board).RecordUnansweredStart(aWorker);
  if (++state.m_unansweredStarts >= m_board.m_policy.m_quarantineFailures) {
    // Nothing else was answered since, so it may be the worker.
    SetResponsive(aWorker, false);
    if (!state.m_pending.empty()) {
      state.m_pending.back().m_answerDueAt = m_board.m_now;
    }
  }
}

void
LeasedRuns::Handle(const StopAnswered& aAnswer)
{
  if (!aAnswer.m_confirmed) {
    return;
  }
  const auto run = m_board.m_attempts.m_byRun.find(aAnswer.m_run);
  if (run == m_board.m_attempts.m_byRun.end()) {
    for (auto& [name, worker] : m_board.m_workers.m_workers) {
      if (worker.m_leasedRuns) {
        worker.m_leasedRuns->m_unclearRuns.erase(aAnswer.m_run);
      }
    }
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  const auto worker = m_board.m_workers.m_workers.find(attempt.m_worker);
  if (worker != m_board.m_workers.m_workers.end() &&
      worker->second.m_leasedRuns) {
    RecordAnswer(worker->second);
  }
  attempt.m_stopConfirmedAt = attempt.m_stopConfirmedAt.value_or(m_board.m_now);
}

} // namespace mulberrysail::core::agent
