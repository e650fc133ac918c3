#include "core/internal/agent/leasedruns.h"

#include "core/internal/agent/breakers.h"
#include "core/internal/agent/runs.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace mulberrysail::core::agent {

namespace {

/** A worker's clock may run this much slower than ours. */
constexpr double kClockDrift = 0.03;
/** Between two observations, or two stops of a run, that had no answer. */
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
/** What a worker takes at most to end a run after its lease or a stop. */
constexpr Duration kEndTime = std::chrono::milliseconds(50);

Instant
LastInstantOf(Instant aSent, Duration aLease)
{
  const Duration drift(static_cast<Duration::rep>(
    static_cast<double>(aLease.count()) * kClockDrift));
  return aSent + aLease + drift + kEndTime;
}

RunTarget
TargetOf(const Worker& aWorker, const std::string& aLife)
{
  return { WorkKind::Task, aWorker.m_info.m_name, aWorker.m_url, aLife };
}

bool
WantsStop(const AgentBoard& aBoard, const Attempt& aAttempt)
{
  return aAttempt.m_stopRequested ||
         aAttempt.m_offer.m_deadline <= aBoard.m_now;
}

} // namespace

void
LeasedRuns::Announced(Worker& aWorker, const std::string& aLife)
{
  if (!aWorker.m_lease) {
    aWorker.m_lease.emplace();
    aWorker.m_lease->m_incarnation = aLife;
  }
  RunLease& lease = *aWorker.m_lease;
  lease.m_announcedLife = aLife;
  if (lease.m_incarnation != aLife && lease.m_incarnation.empty()) {
    lease.m_incarnation = aLife;
  }
}

void
LeasedRuns::Sent(Worker& aWorker)
{
  RunLease& lease = *aWorker.m_lease;
  lease.m_heldUntil =
    std::max(lease.m_heldUntil,
             LastInstantOf(m_board.m_now, m_board.m_policy.m_runLease));
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
LeasedRuns::RecordAnswer(EventCode aCode,
                         const Attempt& aAttempt,
                         const StartAnswered& aAnswer)
{
  RecordAttempt(m_board,
                aCode,
                aAttempt.m_key.m_attempt,
                aAttempt.m_offer,
                EventDetail()
                  .Add("worker", aAttempt.m_worker)
                  .Add("start", aAttempt.m_name.m_startNumber)
                  .Add("asked_ms_ago", m_board.m_now - aAttempt.m_startedAt)
                  .Add("cause", aAnswer.m_detail));
}

void
LeasedRuns::Take(const StartAnswered& aAnswer)
{
  const auto run = m_board.m_attempts.m_byRun.find(aAnswer.m_run);
  if (run == m_board.m_attempts.m_byRun.end()) {
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  Worker& worker = m_board.m_workers.m_workers.at(attempt.m_worker);
  switch (aAnswer.m_result) {
    case StartResult::Started:
      attempt.m_takenAt = attempt.m_takenAt.value_or(m_board.m_now);
      return;
    case StartResult::Rejected:
      RecordAnswer(EventCode::RunRejected, attempt, aAnswer);
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::Unhealthy:
      RecordAnswer(EventCode::RunRejected, attempt, aAnswer);
      Breakers(m_board).Failed(worker, attempt);
      Finish(aAnswer.m_run, RunOutcome::NotStarted);
      return;
    case StartResult::OtherIncarnation:
      EndLife(worker);
      return;
    case StartResult::NoAnswer:
      if (attempt.m_takenAt) {
        // It was seen to run meanwhile.
        return;
      }
      RecordAnswer(EventCode::RunUnclear, attempt, aAnswer);
      Breakers(m_board).Failed(worker, attempt);
      Stop(attempt);
      return;
  }
}

void
LeasedRuns::Take(const StopAnswered& aAnswer)
{
  const auto run = m_board.m_attempts.m_byRun.find(aAnswer.m_run);
  if (run == m_board.m_attempts.m_byRun.end() || !aAnswer.m_confirmed) {
    return;
  }
  Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
  attempt.m_stoppedAt = attempt.m_stoppedAt.value_or(m_board.m_now);
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
             TargetOf(worker->second, worker->second.m_lease->m_incarnation),
             aAttempt.m_name });
}

void
LeasedRuns::Take(const RunsObserved& aObserved)
{
  const auto place = m_board.m_workers.m_workers.find(aObserved.m_worker);
  if (place == m_board.m_workers.m_workers.end() || !place->second.m_lease) {
    return;
  }
  Worker& worker = place->second;
  RunLease& lease = *worker.m_lease;
  if (aObserved.m_observationId != lease.m_observationId) {
    return;
  }
  lease.m_observationId = 0;
  const bool ofCurrentLife = aObserved.m_incarnation == lease.m_incarnation;
  switch (aObserved.m_result) {
    case ObserveResult::Observed:
      if (!ofCurrentLife) {
        // A life other than the one that was looked after is there.
        EndAll(worker);
        const Instant askedAt = lease.m_askedAt;
        lease = RunLease{};
        lease.m_incarnation = aObserved.m_incarnation;
        lease.m_announcedLife = aObserved.m_incarnation;
        lease.m_askedAt = askedAt;
      }
      SetAnswers(worker, true);
      TakeEnds(worker, aObserved);
      TakeRunning(worker, aObserved);
      lease.m_observed = true;
      return;
    case ObserveResult::OtherIncarnation:
      if (ofCurrentLife) {
        EndLife(worker);
      } else {
        lease.m_announcedLife = lease.m_incarnation;
      }
      return;
    case ObserveResult::NoAnswer:
      SetAnswers(worker, false);
      lease.m_nextObservation = m_board.m_now + kRetryInterval;
      return;
  }
}

void
LeasedRuns::SetAnswers(Worker& aWorker, bool aAnswers)
{
  RunLease& lease = *aWorker.m_lease;
  if (lease.m_answers == aAnswers) {
    return;
  }
  lease.m_answers = aAnswers;
  // Entries don't count on the room of a worker that says nothing.
  aWorker.m_info.m_quarantined =
    !aAnswers || aWorker.m_breaker.m_state == BreakerState::Open;
  AnnounceToAll(m_board);
}

void
LeasedRuns::TakeEnds(Worker& aWorker, const RunsObserved& aObserved)
{
  RunLease& lease = *aWorker.m_lease;
  std::map<RunName, RunId> known;
  for (const Attempt* attempt : RunsOn(aWorker)) {
    known.emplace(attempt->m_name, attempt->m_run);
  }
  for (const EndedRun& ended : aObserved.m_ended) {
    if (ended.m_number <= lease.m_lastEnd) {
      continue;
    }
    lease.m_lastEnd = ended.m_number;
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
LeasedRuns::TakeRunning(Worker& aWorker, const RunsObserved& aObserved)
{
  RunLease& lease = *aWorker.m_lease;
  std::set<RunName> running(aObserved.m_running.begin(),
                            aObserved.m_running.end());
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (running.erase(attempt->m_name) != 0) {
      attempt->m_takenAt = attempt->m_takenAt.value_or(lease.m_askedAt);
      continue;
    }
    if (attempt->m_stoppedAt && *attempt->m_stoppedAt <= lease.m_askedAt) {
      Finish(attempt->m_run,
             attempt->m_takenAt ? RunOutcome::Interrupted
                                : RunOutcome::NotStarted);
    } else if (attempt->m_takenAt && *attempt->m_takenAt < lease.m_askedAt) {
      Finish(attempt->m_run, RunOutcome::Interrupted);
    }
  }
  lease.m_foreignRuns = !running.empty();
  for (const RunName& foreign : running) {
    Record(m_board,
           EventCode::ForeignRunStopped,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("start", foreign.m_startNumber),
           foreign.m_task);
    m_board.m_commands->push_back(
      StopRun{ {}, TargetOf(aWorker, lease.m_incarnation), foreign });
  }
}

void
LeasedRuns::EndAll(Worker& aWorker)
{
  for (Attempt* attempt : RunsOn(aWorker)) {
    Finish(attempt->m_run, RunOutcome::Interrupted);
  }
}

void
LeasedRuns::EndLife(Worker& aWorker)
{
  Record(m_board,
         EventCode::WorkerLapsed,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("life", aWorker.m_lease->m_incarnation)
           .Add("runs", aWorker.m_running));
  EndAll(aWorker);
  const std::string announced = aWorker.m_lease->m_announcedLife;
  const bool another = announced != aWorker.m_lease->m_incarnation;
  aWorker.m_lease.emplace();
  aWorker.m_lease->m_incarnation = another ? announced : "";
  aWorker.m_lease->m_announcedLife = aWorker.m_lease->m_incarnation;
  aWorker.m_leaving = !another;
  m_board.m_workers.m_shrunk = true;
  AnnounceToAll(m_board);
}

void
LeasedRuns::Settle()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    if (worker.m_lease && !worker.m_lease->m_incarnation.empty()) {
      SettleWorker(worker);
    }
  }
}

void
LeasedRuns::SettleWorker(Worker& aWorker)
{
  RunLease& lease = *aWorker.m_lease;
  if (!lease.m_answers && lease.m_observed &&
      lease.m_heldUntil <= m_board.m_now && aWorker.m_running > 0) {
    Record(m_board,
           EventCode::RunsLapsed,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("runs", aWorker.m_running)
             .Add("lease_ended_ms_ago", m_board.m_now - lease.m_heldUntil));
    EndAll(aWorker);
  }
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (WantsStop(m_board, *attempt) && !attempt->m_stoppedAt) {
      Stop(*attempt);
    }
  }
  if (m_board.m_now < lease.m_nextObservation ||
      (lease.m_observationId != 0 && !WantsProof(aWorker))) {
    return;
  }
  if (lease.m_announcedLife != lease.m_incarnation) {
    Observe(aWorker, lease.m_announcedLife);
  } else if (!lease.m_observed || lease.m_foreignRuns ||
             aWorker.m_running > 0 || lease.m_acknowledgedRun < lease.m_lastEnd) {
    Observe(aWorker, lease.m_incarnation);
  }
}

bool
LeasedRuns::WantsProof(const Worker& aWorker)
{
  const std::vector<Attempt*> runs = RunsOn(aWorker);
  return std::any_of(runs.begin(), runs.end(), [&](const Attempt* aAttempt) {
    return aAttempt->m_stoppedAt &&
           *aAttempt->m_stoppedAt > aWorker.m_lease->m_askedAt;
  });
}

void
LeasedRuns::Observe(Worker& aWorker, const std::string& aLife)
{
  RunLease& lease = *aWorker.m_lease;
  ObserveRuns observe;
  observe.m_target = TargetOf(aWorker, aLife);
  observe.m_observationId = m_board.m_workers.m_nextTicket++;
  if (aLife == lease.m_incarnation) {
    observe.m_acknowledgedRun = lease.m_lastEnd;
    lease.m_acknowledgedRun = lease.m_lastEnd;
    // One renewal extends all that runs there, so first look what that is.
    const bool own = lease.m_answers && !lease.m_foreignRuns;
    if (own && aWorker.m_running > 0) {
      observe.m_renewFor = m_board.m_policy.m_runLease;
      observe.m_wait =
        WantsProof(aWorker) ? Duration::zero() : m_board.m_policy.m_observeWait;
      Sent(aWorker);
    }
  }
  lease.m_observationId = observe.m_observationId;
  lease.m_askedAt = m_board.m_now;
  m_board.m_commands->push_back(std::move(observe));
}

Instant
LeasedRuns::NextDue(const AgentBoard& aBoard)
{
  Instant due = kNever;
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    if (!worker.m_lease || worker.m_lease->m_incarnation.empty()) {
      continue;
    }
    const RunLease& lease = *worker.m_lease;
    if (lease.m_observationId == 0 && lease.m_nextObservation > aBoard.m_now) {
      due = std::min(due, lease.m_nextObservation);
    }
    if (!lease.m_answers && worker.m_running > 0 &&
        lease.m_heldUntil > aBoard.m_now) {
      due = std::min(due, lease.m_heldUntil);
    }
  }
  for (const auto& [run, key] : aBoard.m_attempts.m_byRun) {
    const Attempt& attempt = aBoard.m_attempts.m_open.at(key);
    const auto worker = aBoard.m_workers.m_workers.find(attempt.m_worker);
    const bool leased = worker != aBoard.m_workers.m_workers.end() &&
                        worker->second.m_lease.has_value();
    if (!leased || attempt.m_stoppedAt) {
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
