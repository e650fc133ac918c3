#include "core/internal/agent/breakers.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core::agent {

namespace {

constexpr Duration kMaxPause = std::chrono::seconds(60);
/** Usable share of the capacity, in percent, after a successful probe. */
constexpr std::uint32_t kInitialPercent = 25;
constexpr std::uint32_t kFullPercent = 100;
/** Starts without an answer, in a row, that count as one failure. A worker that
 * answers nothing else either is taken out of use by LeasedRuns sooner. */
constexpr std::uint32_t kUnansweredPerFailure = 3;
/** First pause after unanswered starts. A probe costs the time in which a start
 * is answered, so it may be tried soon. */
constexpr Duration kStartProbePause = std::chrono::milliseconds(250);
/** Consecutive successes that show that a worker doesn't fail any more. */
constexpr std::uint32_t kSuccessesToClose = 10;
/** Consecutive failures up to which a worker is used while most others fail. A
 * worker that fails all runs is of no use; it gets probes only. */
constexpr std::uint32_t kMaxToleratedFailures = 20;
/** Pause between two such probes. */
constexpr Duration kToleratedProbePause = std::chrono::milliseconds(500);
/** Longest time for which one message of an entry may ask to use failing
 * workers. */
constexpr Duration kMaxToleratedFor = std::chrono::seconds(10);

bool
ToleratesFailures(const AgentBoard& aBoard)
{
  return aBoard.m_now < aBoard.m_workers.m_useFailingUntil;
}

bool
MustOpen(const AgentBoard& aBoard, const Breaker& aBreaker)
{
  const std::uint32_t limit = aBoard.m_policy.m_quarantineFailures;
  // A single job may itself cause its failures, so twice the limit applies to
  // failures of one job.
  return aBreaker.m_failures >= (aBreaker.m_severalJobs ? limit : 2 * limit);
}

} // namespace

void
Breakers::RecordSuccess(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_failures = 0;
  breaker.m_severalJobs = false;
  switch (breaker.m_state) {
    case BreakerState::Closed:
    case BreakerState::Open:
      return;
    case BreakerState::Probing:
      if (ToleratesFailures(m_board) && aWorker.m_info.m_failing) {
        Tolerate(aWorker);
        return;
      }
      breaker.m_state = BreakerState::Restoring;
      breaker.m_capacityPercent = kInitialPercent;
      return;
    case BreakerState::Restoring:
      breaker.m_capacityPercent *= 2;
      if (breaker.m_capacityPercent >= kFullPercent) {
        Close(aWorker);
      }
      return;
    case BreakerState::Tolerated:
      if (++breaker.m_successes >= kSuccessesToClose) {
        Close(aWorker);
      }
      return;
  }
}

void
Breakers::RecordAnsweredStart(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_unansweredStarts = 0;
  if (breaker.m_openForStarts && breaker.m_state == BreakerState::Probing) {
    Close(aWorker);
  }
}

void
Breakers::RecordUnansweredStart(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  ++breaker.m_unansweredStarts;
  const bool probeFailed =
    breaker.m_openForStarts && breaker.m_state == BreakerState::Probing;
  const bool tooMany =
    breaker.m_state == BreakerState::Closed &&
    breaker.m_unansweredStarts >=
      kUnansweredPerFailure * m_board.m_policy.m_quarantineFailures;
  if (probeFailed || tooMany) {
    breaker.m_openForStarts = true;
    OpenFor(
      aWorker,
      breaker.m_pause == Duration{}
        ? kStartProbePause
        : std::min(2 * breaker.m_pause, m_board.m_policy.m_quarantineDuration),
      breaker.m_unansweredStarts);
  }
}

void
Breakers::Close(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_capacityPercent = kFullPercent;
  breaker.m_state = BreakerState::Closed;
  breaker.m_pause = {};
  breaker.m_openForStarts = false;
  if (std::exchange(aWorker.m_info.m_failing, false)) {
    ScheduleAnnounceToAll(m_board);
  }
  Record(m_board,
         EventCode::WorkerRestored,
         0,
         EventDetail().Add("worker", aWorker.m_info.m_name));
}

void
Breakers::RecordFailureAndCheckRetry(Worker& aWorker, const Attempt& aAttempt)
{
  Breaker& breaker = aWorker.m_breaker;
  const std::pair<std::uint32_t, SubmissionId> job{ aAttempt.m_key.m_entry,
                                                    aAttempt.m_offer.m_job };
  if (breaker.m_failures == 0) {
    breaker.m_firstJob = job;
  }
  ++breaker.m_failures;
  breaker.m_severalJobs = breaker.m_severalJobs || job != breaker.m_firstJob;
  switch (breaker.m_state) {
    case BreakerState::Open:
      return;
    case BreakerState::Probing:
    case BreakerState::Restoring:
      Open(aWorker);
      return;
    case BreakerState::Closed:
      if (MustOpen(m_board, breaker)) {
        Open(aWorker);
      }
      return;
    case BreakerState::Tolerated:
      breaker.m_successes = 0;
      if (breaker.m_failures > kMaxToleratedFailures) {
        Open(aWorker);
      }
      return;
  }
}

void
Breakers::Open(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  const bool isFirst = breaker.m_pause == Duration{} || breaker.m_openForStarts;
  breaker.m_openForStarts = false;
  aWorker.m_info.m_failing = true;
  if (ToleratesFailures(m_board)) {
    if (breaker.m_failures > kMaxToleratedFailures) {
      OpenFor(aWorker, kToleratedProbePause, breaker.m_failures);
    } else {
      Tolerate(aWorker);
    }
    return;
  }
  OpenFor(aWorker,
          isFirst ? m_board.m_policy.m_quarantineDuration
                  : std::min(2 * breaker.m_pause, kMaxPause),
          breaker.m_failures);
}

void
Breakers::OpenFor(Worker& aWorker, Duration aPause, std::uint32_t aFailures)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_pause = aPause;
  breaker.m_state = BreakerState::Open;
  breaker.m_openUntil = m_board.m_now + breaker.m_pause;
  breaker.m_capacityPercent = kInitialPercent;
  aWorker.m_info.m_quarantined = true;
  m_board.m_workers.m_recheckQueuedTasks = true;
  Record(m_board,
         EventCode::WorkerQuarantined,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("failures", aFailures)
           .Add("cause",
                breaker.m_openForStarts ? "starts unanswered" : "runs failed")
           .Add("pause_ms", breaker.m_pause));
  ScheduleAnnounceToAll(m_board);
}

void
Breakers::Tolerate(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_state = BreakerState::Tolerated;
  breaker.m_capacityPercent = kFullPercent;
  breaker.m_successes = 0;
  breaker.m_pause = {};
  aWorker.m_info.m_quarantined =
    aWorker.m_leasedRuns && !aWorker.m_leasedRuns->m_responsive;
  Record(m_board,
         EventCode::WorkerRestored,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("cause", "runs fail on most workers"));
  ScheduleAnnounceToAll(m_board);
}

void
Breakers::TolerateFailures(Duration aFor)
{
  Instant& until = m_board.m_workers.m_useFailingUntil;
  until = std::max(until, m_board.m_now + std::min(aFor, kMaxToleratedFor));
  if (!ToleratesFailures(m_board)) {
    return;
  }
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    Breaker& breaker = worker.m_breaker;
    if (!worker.m_info.m_failing ||
        breaker.m_state == BreakerState::Tolerated) {
      continue;
    }
    if (breaker.m_failures <= kMaxToleratedFailures) {
      Tolerate(worker);
    } else {
      breaker.m_openUntil =
        std::min(breaker.m_openUntil, m_board.m_now + kToleratedProbePause);
    }
  }
}

void
Breakers::EnterProbing()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (NextDue(m_board, worker) <= m_board.m_now) {
      worker.m_breaker.m_state = BreakerState::Probing;
      worker.m_breaker.m_capacityPercent = kInitialPercent;
      worker.m_info.m_quarantined = false;
      ScheduleAnnounceToAll(m_board);
    }
  }
}

Instant
Breakers::NextDue(const AgentBoard& aBoard, const Worker& aWorker)
{
  switch (aWorker.m_breaker.m_state) {
    case BreakerState::Open:
      return aWorker.m_breaker.m_openUntil;
    case BreakerState::Tolerated:
      return aBoard.m_workers.m_useFailingUntil;
    case BreakerState::Closed:
    case BreakerState::Probing:
    case BreakerState::Restoring:
      break;
  }
  return Instant::max();
}

} // namespace mulberrysail::core::agent
