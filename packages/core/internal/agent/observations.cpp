#include "core/internal/agent/leasedruns.h"

#include "core/internal/agent/crashlog.h"
#include "core/internal/agent/fencing.h"
#include "core/internal/agent/incarnations.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

/** The part of LeasedRuns that queries workers. */
namespace mulberrysail::core::agent {

namespace {

/** Time beyond its wait in which an observation should be answered. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(25);
/** How long observations wait while calls to the worker are lost, so that a
 * lost one doesn't hide the ends of runs for long. */
constexpr Duration kMaxWaitAfterLoss = std::chrono::milliseconds(25);
/** How long after a lost call others are expected to be lost. */
constexpr Duration kLossMemory = std::chrono::seconds(1);
/** Maximum number of observations at a time that are repeated as late. */
constexpr std::size_t kMaxPending = 16;

/** @return whether the worker gave the answer before a run ended whose end is
 * known: observations that are pending at the same time may be answered in
 * another order than they were sent, and such a run isn't at work. */
bool
IsOvertaken(const LeasedRunState& aState,
            std::uint64_t aAcknowledgedRun,
            const RunsObserved& aObserved)
{
  return aAcknowledgedRun < aState.m_lastEnd &&
         std::none_of(aObserved.m_ended.begin(),
                      aObserved.m_ended.end(),
                      [&](const EndedRun& aEnded) {
                        return aEnded.m_number >= aState.m_lastEnd;
                      });
}

RunOutcome
OutcomeOf(RunEnd aEnd)
{
  switch (aEnd) {
    case RunEnd::Completed:
      return RunOutcome::Completed;
    case RunEnd::Failed:
      return RunOutcome::Failed;
    case RunEnd::Interrupted:
      return RunOutcome::Interrupted;
  }
  return RunOutcome::Interrupted;
}

} // namespace

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
  const auto pending =
    std::find_if(state.m_pending.begin(),
                 state.m_pending.end(),
                 [&](const PendingObservation& aPending) {
                   return aPending.m_id == aObserved.m_observationId;
                 });
  if (pending == state.m_pending.end()) {
    return;
  }
  if (aObserved.m_result == ObserveResult::NoAnswer) {
    state.m_pending.erase(pending);
    state.m_lastLossAt = m_board.m_now;
    SetResponsive(worker, false);
    if (state.m_pending.empty()) {
      state.m_nextObservation = m_board.m_now + kRetryInterval;
    }
    return;
  }
  const std::uint64_t acknowledgedRun = pending->m_acknowledgedRun;
  const std::uint64_t token = pending->m_fencingToken;
  state.m_observationSentAt = pending->m_sentAt;
  state.m_pending.erase(state.m_pending.begin(), std::next(pending));
  const bool ofTrackedIncarnation =
    aObserved.m_incarnation == state.m_tracked.m_incarnation;
  switch (aObserved.m_result) {
    case ObserveResult::Observed:
      if (!ofTrackedIncarnation) {
        // The answer is from another incarnation than the tracked one.
        FinishAsCrashed(worker, "another incarnation answered", true);
        RecordEnded(m_board, worker, state.m_tracked.m_incarnation);
        const Instant sentAt = state.m_observationSentAt;
        state = LeasedRunState{};
        state.m_tracked.m_incarnation = aObserved.m_incarnation;
        state.m_announcedIncarnation = aObserved.m_incarnation;
        state.m_observationSentAt = sentAt;
      }
      if (aObserved.m_startedAtMs < state.m_tracked.m_startedAtMs &&
          aObserved.m_startedAtMs != 0) {
        // The answer was sent before the worker started again.
        return;
      }
      CheckRestart(m_board, worker, aObserved.m_startedAtMs);
      SetResponsive(worker, true);
      ConfirmFencingToken(worker, token);
      if (ofTrackedIncarnation &&
          IsOvertaken(state, acknowledgedRun, aObserved)) {
        RecordAnswer(worker);
        return;
      }
      if (aObserved.m_clock) {
        RecordAnsweredClock(
          worker, *aObserved.m_clock, state.m_observationSentAt);
      }
      if (state.m_clock.IsDoubtful()) {
        state.m_nextObservation = m_board.m_now + kRetryInterval;
      }
      ProcessEndedRuns(worker, aObserved);
      ProcessActiveRuns(worker, aObserved);
      RecordAnswer(worker);
      state.m_observed = true;
      return;
    case ObserveResult::Fenced:
      RecordAnswer(worker);
      if (token == worker.m_fencingToken) {
        RaiseRejectedToken(m_board, worker);
        // Its run leases weren't renewed, so its runs end with them.
        SetResponsive(worker, false, "fencing token rejected");
        state.m_nextObservation = m_board.m_now + kRetryInterval;
      }
      return;
    case ObserveResult::OtherIncarnation:
      RecordEnded(m_board, worker, aObserved.m_incarnation);
      if (ofTrackedIncarnation) {
        EndIncarnation(worker);
      } else {
        // The announced incarnation no longer exists, so the tracked one stays.
        state.m_announcedIncarnation = state.m_tracked.m_incarnation;
      }
      return;
    case ObserveResult::NoAnswer:
      return;
  }
}

void
LeasedRuns::SetResponsive(Worker& aWorker,
                          bool aResponsive,
                          std::string_view aCause)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (state.m_responsive == aResponsive) {
    return;
  }
  state.m_responsive = aResponsive;
  if (state.m_observed) {
    EventDetail detail;
    detail.Add("worker", aWorker.m_info.m_name);
    if (!aResponsive) {
      detail.Add("failures", state.m_unansweredStarts).Add("cause", aCause);
    }
    Record(m_board,
           aResponsive ? EventCode::WorkerRestored
                       : EventCode::WorkerQuarantined,
           0,
           std::move(detail));
  }
  // Entries must not count on the capacity of an unresponsive worker.
  aWorker.m_info.m_quarantined =
    !aResponsive || aWorker.m_breaker.m_state == BreakerState::Open;
  ScheduleAnnounceToAll(m_board);
}

void
LeasedRuns::ProcessEndedRuns(Worker& aWorker, const RunsObserved& aObserved)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  // Attempts of two entries may share a run.
  std::multimap<RunName, RunId> known;
  for (const Attempt* attempt : RunsOn(aWorker)) {
    known.emplace(attempt->m_runName, attempt->m_run);
  }
  for (const EndedRun& ended : aObserved.m_ended) {
    if (ended.m_number <= state.m_lastEnd) {
      continue;
    }
    state.m_lastEnd = ended.m_number;
    const auto [first, last] = known.equal_range(ended.m_name);
    for (auto run = first; run != last; ++run) {
      Finish(run->second, OutcomeOf(ended.m_end));
    }
  }
}

void
LeasedRuns::ProcessActiveRuns(Worker& aWorker, const RunsObserved& aObserved)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  const std::set<RunName> running(aObserved.m_running.begin(),
                                  aObserved.m_running.end());
  std::set<RunName> foreignRuns = running;
  if (std::exchange(state.m_hasRestarted, false)) {
    RecordRestart(aWorker, running);
  }
  for (Attempt* attempt : RunsOn(aWorker)) {
    if (running.contains(attempt->m_runName)) {
      foreignRuns.erase(attempt->m_runName);
      // Observations that are pending may have been answered before the start.
      attempt->m_acceptedAt = attempt->m_acceptedAt.value_or(m_board.m_now);
      // Leases are granted by the clock of this answer from now on.
      attempt->m_leaseConfirmed =
        attempt->m_leaseConfirmed ||
        attempt->m_startSentAt <= state.m_observationSentAt;
      continue;
    }
    const bool mayStillStart =
      attempt->m_startsSent > 1 || !attempt->m_acceptedAt;
    if (mayStillStart && !IsFenced(aWorker)) {
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
  state.m_hasForeignRuns = !foreignRuns.empty();
  for (const RunName& foreign : foreignRuns) {
    Record(m_board,
           EventCode::ForeignRunStopped,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("start", foreign.m_startNumber),
           foreign.m_task);
    m_board.m_commands->push_back(
      StopRun{ {}, TargetOf(aWorker, state.m_tracked.m_incarnation), foreign });
  }
}

bool
LeasedRuns::NeedsNewObservation(const Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  const bool hasOldToken =
    !state.m_pending.empty() &&
    state.m_pending.back().m_fencingToken < aWorker.m_fencingToken;
  const std::vector<Attempt*> runs = RunsOn(aWorker);
  return hasOldToken ||
         std::any_of(runs.begin(), runs.end(), [&](const Attempt* aAttempt) {
           return aAttempt->m_stopConfirmedAt &&
                  *aAttempt->m_stopConfirmedAt > state.m_lastSentAt;
         });
}

bool
LeasedRuns::MustObserveAgain(const Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  const bool isLate = state.m_pending.back().m_answerDueAt <= m_board.m_now;
  return NeedsNewObservation(aWorker) ||
         (isLate && state.m_pending.size() < kMaxPending);
}

Duration
LeasedRuns::MaxWait(const Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  // The ends of runs are known late if a call that waits for them is lost.
  if (!state.m_pending.empty() || NeedsNewObservation(aWorker)) {
    return Duration::zero();
  }
  const bool losesCalls =
    state.m_lastLossAt && m_board.m_now - *state.m_lastLossAt < kLossMemory;
  return losesCalls
           ? std::min(kMaxWaitAfterLoss, m_board.m_policy.m_observeWait)
           : m_board.m_policy.m_observeWait;
}

void
LeasedRuns::Observe(Worker& aWorker, const std::string& aIncarnation)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  ObserveRuns observe;
  observe.m_target = TargetOf(aWorker, aIncarnation);
  observe.m_observationId = m_board.m_workers.m_nextTicket++;
  if (aIncarnation == state.m_tracked.m_incarnation) {
    observe.m_acknowledgedRun = state.m_lastEnd;
    state.m_acknowledgedRun = state.m_lastEnd;
    // A renewal extends all runs on the worker, so it is sent only after an
    // observation has shown that all of them are of this agent incarnation.
    const bool onlyOwnRuns = state.m_responsive && IsFenced(aWorker) &&
                             !state.m_hasForeignRuns &&
                             state.m_unclearRuns.empty();
    if (onlyOwnRuns && aWorker.m_runningTasks > 0) {
      observe.m_renewUntil = GrantLease(aWorker);
      observe.m_wait = MaxWait(aWorker);
    }
  }
  if (!state.m_pending.empty() &&
      state.m_pending.back().m_answerDueAt <= m_board.m_now) {
    state.m_lastLossAt = m_board.m_now;
  }
  const Duration margin = state.m_responsive ? kAnswerMargin : kRetryInterval;
  state.m_pending.push_back({ observe.m_observationId,
                              m_board.m_now,
                              m_board.m_now + observe.m_wait + margin,
                              observe.m_acknowledgedRun,
                              observe.m_target.m_fencingToken });
  state.m_lastSentAt = m_board.m_now;
  m_board.m_commands->push_back(std::move(observe));
}

} // namespace mulberrysail::core::agent
