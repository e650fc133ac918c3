#include "core/internal/agent/runs.h"

#include "core/internal/agent/breakers.h"
#include "core/internal/agent/outcomes.h"
#include "core/internal/agent/starter.h"
#include "core/internal/agent/workerusage.h"

namespace mulberrysail::core::agent {

void
Runs::Finish(RunFinished aFinished)
{
  const auto run = m_board.m_attempts.m_byRun.find(aFinished.m_run);
  if (run == m_board.m_attempts.m_byRun.end()) {
    Record(m_board,
           EventCode::AttemptReplyDropped,
           aFinished.m_run.m_value,
           EventDetail().Add("cause", "unknown run"));
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  if (attempt.m_offer.m_kind == WorkKind::Request) {
    ReleaseSlot();
  } else {
    ReleaseReservation(attempt, aFinished.m_outcome);
  }
  switch (aFinished.m_outcome) {
    case RunOutcome::Completed:
      Outcomes(m_board).EndRun(attempt,
                               AttemptFate::Completed,
                               ErrorKind::None,
                               std::move(aFinished.m_output));
      return;
    case RunOutcome::Failed:
      Outcomes(m_board).EndRun(attempt,
                               AttemptFate::Failed,
                               attempt.m_stopRequested
                                 ? ErrorKind::CancelledRunning
                                 : ErrorKind::TaskFailed,
                               std::move(aFinished.m_output));
      return;
    case RunOutcome::NeverSent:
      RetryOrRefuse(attempt);
      return;
    case RunOutcome::Lost:
      Outcomes(m_board).EndRun(
        attempt, AttemptFate::Lost, ErrorKind::RunLost, {});
      return;
    case RunOutcome::Interrupted:
      Outcomes(m_board).EndRun(
        attempt, AttemptFate::Interrupted, ErrorKind::RunLost, {});
      return;
    case RunOutcome::NotStarted:
      Outcomes(m_board).EndRun(
        attempt, AttemptFate::Refused, ErrorKind::ConnectFailed, {});
      return;
  }
}

void
Runs::ReleaseSlot()
{
  --m_board.m_endpoint.m_runningRequests;
}

void
Runs::ReleaseReservation(Attempt& aAttempt, RunOutcome aOutcome)
{
  const auto place = m_board.m_workers.m_workers.find(aAttempt.m_worker);
  if (place == m_board.m_workers.m_workers.end()) {
    return;
  }
  Worker& worker = place->second;
  --worker.m_runningTasks;
  SubtractResources(worker.m_reserved, aAttempt.m_reserved);
  Breakers breakers(m_board);
  switch (aOutcome) {
    case RunOutcome::Completed:
      WorkerUsage(m_board).Learn(aAttempt);
      breakers.RecordSuccess(worker);
      return;
    case RunOutcome::NeverSent:
      worker.m_unreachable = true;
      return;
    case RunOutcome::Interrupted:
    case RunOutcome::NotStarted:
      return;
    case RunOutcome::Failed:
    case RunOutcome::Lost:
      if (!aAttempt.m_stopRequested) {
        breakers.RecordFailureAndCheckRetry(worker, aAttempt);
      }
      return;
  }
}

void
Runs::RetryOrRefuse(Attempt& aAttempt)
{
  const Offer& offer = aAttempt.m_offer;
  const bool retry = offer.m_kind == WorkKind::Task && !aAttempt.m_requeued &&
                     !aAttempt.m_stopRequested && AcceptsWork(m_board) &&
                     m_board.m_now < ExpiryOf(offer) &&
                     HasWorkerFor(m_board, offer, aAttempt.m_worker);
  if (retry) {
    Requeue(aAttempt);
    return;
  }
  const bool isZoneDrained = IsZoneDrained(m_board);
  m_board.m_counters.m_refusedForDrain += isZoneDrained ? 1 : 0;
  Outcomes(m_board).EndRun(aAttempt,
                           AttemptFate::Refused,
                           isZoneDrained ? ErrorKind::Draining
                                         : ErrorKind::ConnectFailed,
                           {});
}

void
Runs::Requeue(Attempt& aAttempt)
{
  m_board.m_attempts.m_byRun.erase(aAttempt.m_run);
  aAttempt.m_running = false;
  aAttempt.m_requeued = true;
  KeyRegistry(m_board).UpdateFate(aAttempt);
  Queues(m_board).Add(aAttempt);
  RecordAttempt(m_board,
                EventCode::AttemptQueued,
                aAttempt.m_key.m_attempt,
                aAttempt.m_offer,
                EventDetail()
                  .Add("cause", "run could not be sent to worker")
                  .Add("worker", aAttempt.m_worker));
}

} // namespace mulberrysail::core::agent
