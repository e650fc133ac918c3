#include "core/internal/agent/fencing.h"
#include "core/internal/agent/incarnations.h"
#include "core/internal/agent/leasedruns.h"

#include <algorithm>
#include <utility>

/** The part of LeasedRuns that reads workers' clocks, grants run leases and
 * determines when they have ended. */
namespace mulberrysail::core::agent {

void
LeasedRuns::RecordAnnouncement(Worker& aWorker,
                               const WorkerAnnounced& aAnnounced)
{
  const std::string& incarnation = aAnnounced.m_incarnation;
  if (!aWorker.m_leasedRuns) {
    aWorker.m_leasedRuns.emplace();
    aWorker.m_leasedRuns->m_tracked.m_incarnation = incarnation;
    RaiseFencingToken(m_board, aWorker, "the worker was announced");
  }
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_announcedIncarnation = incarnation;
  if (state.m_tracked.m_incarnation != incarnation &&
      state.m_tracked.m_incarnation.empty()) {
    state.m_tracked.m_incarnation = incarnation;
  }
  if (state.m_tracked.m_incarnation != incarnation) {
    return;
  }
  CheckRestart(m_board, aWorker, aAnnounced.m_startedAtMs);
  if (aAnnounced.m_clock &&
      aAnnounced.m_startedAtMs == state.m_tracked.m_startedAtMs) {
    RecordAnnouncedClock(aWorker, *aAnnounced.m_clock);
  }
}

void
LeasedRuns::RecordAnnouncedClock(Worker& aWorker, WorkerInstant aReading)
{
  WorkerClockEstimate& clock = aWorker.m_leasedRuns->m_clock;
  const std::optional<WorkerInstant> expected = clock.EarliestAt(m_board.m_now);
  const bool wasDoubtful = clock.IsDoubtful();
  // Before the reading of a late announcement takes the place of the earlier
  // one.
  ShortenAnnouncementLease(aWorker);
  clock.RecordAnnouncement(aReading, m_board.m_now);
  RecordDoubt(aWorker, wasDoubtful, expected, aReading);
}

bool
LeasedRuns::RecordAnsweredClock(Worker& aWorker,
                                WorkerInstant aReading,
                                Instant aSentAt)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  const std::optional<WorkerInstant> expected =
    state.m_clock.EarliestAt(aSentAt);
  const bool wasDoubtful = state.m_clock.IsDoubtful();
  const bool fits =
    state.m_clock.RecordAnswer(aReading, aSentAt, m_board.m_now);
  if (!fits) {
    state.m_runsEndBy =
      std::max(state.m_runsEndBy,
               LatestRunEnd(m_board.m_now, m_board.m_policy.m_maxRunLease));
  }
  ShortenAnnouncementLease(aWorker);
  RecordDoubt(aWorker, wasDoubtful, expected, aReading);
  return fits;
}

void
LeasedRuns::ShortenAnnouncementLease(Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  const std::optional<WorkerInstant> clock =
    state.m_clock.EarliestAt(m_board.m_now);
  if (!clock || !aWorker.m_announcedClock ||
      aWorker.m_announcedBy != state.m_tracked) {
    return;
  }
  const Duration age = *clock - *aWorker.m_announcedClock;
  aWorker.m_leaseEnds = std::min(
    aWorker.m_leaseEnds, m_board.m_now + m_board.m_policy.m_workerLease - age);
}

void
LeasedRuns::RecordDoubt(const Worker& aWorker,
                        bool aWasDoubtful,
                        std::optional<WorkerInstant> aExpected,
                        WorkerInstant aReading)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  if (state.m_clock.IsDoubtful() && !aWasDoubtful) {
    Record(m_board,
           EventCode::WorkerClockDoubtful,
           0,
           EventDetail()
             .Add("worker", aWorker.m_info.m_name)
             .Add("life", state.m_tracked.m_incarnation)
             .Add("late_ms", Duration(*aExpected - aReading)));
  }
}

std::optional<WorkerInstant>
LeasedRuns::GrantLease(Worker& aWorker)
{
  if (!aWorker.m_leasedRuns) {
    return std::nullopt;
  }
  LeasedRunState& state = *aWorker.m_leasedRuns;
  const Duration lease = m_board.m_policy.m_runLease;
  const std::optional<WorkerInstant> begin =
    state.m_clock.EarliestAt(m_board.m_now);
  if (!begin) {
    return std::nullopt;
  }
  state.m_runsEndBy =
    std::max(state.m_runsEndBy, LatestRunEnd(m_board.m_now, lease));
  state.m_unconfirmedRunsEndBy =
    std::max(state.m_unconfirmedRunsEndBy,
             LatestRunEnd(m_board.m_now, m_board.m_policy.m_maxRunLease));
  return *begin + std::chrono::floor<WorkerClock::duration>(lease);
}

Instant
LeasedRuns::RunsEndBy(const AgentBoard& aBoard, const Worker& aWorker)
{
  const LeasedRunState& state = *aWorker.m_leasedRuns;
  const bool hasUnconfirmed =
    std::any_of(aBoard.m_attempts.m_byRun.begin(),
                aBoard.m_attempts.m_byRun.end(),
                [&](const std::pair<const RunId, AttemptKey>& aRun) {
                  const Attempt& attempt =
                    aBoard.m_attempts.m_open.at(aRun.second);
                  return attempt.m_worker == aWorker.m_info.m_name &&
                         !attempt.m_leaseConfirmed;
                });
  return hasUnconfirmed
           ? std::max(state.m_runsEndBy, state.m_unconfirmedRunsEndBy)
           : state.m_runsEndBy;
}

void
LeasedRuns::FenceExpiredLeases()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    const bool mayBeExpired = worker.m_leasedRuns &&
                              worker.m_runningTasks > 0 &&
                              worker.m_leasedRuns->m_runsEndBy <= m_board.m_now;
    if (!mayBeExpired) {
      continue;
    }
    const Instant runsEndBy = RunsEndBy(m_board, worker);
    if (runsEndBy <= m_board.m_now && worker.m_fencingRaisedAt < runsEndBy) {
      RaiseFencingToken(m_board, worker, "the run leases have expired");
    }
  }
}

} // namespace mulberrysail::core::agent
