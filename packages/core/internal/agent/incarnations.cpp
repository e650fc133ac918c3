#include "core/internal/agent/incarnations.h"

#include "core/internal/agent/fencing.h"

#include <algorithm>
#include <tuple>

namespace mulberrysail::core::agent {

namespace {

/** Announcements are late by few restarts of their worker. */
constexpr std::size_t kMaxEndedIncarnations = 16;

/** @return whether the tracked incarnation has started again since it sent the
 * announcement. */
bool
IsOfEarlierStart(const Worker& aWorker, const WorkerAnnounced& aAnnounced)
{
  if (!aWorker.m_leasedRuns || aAnnounced.m_startedAtMs == 0) {
    return false;
  }
  const WorkerStart& tracked = aWorker.m_leasedRuns->m_tracked;
  return aAnnounced.m_incarnation == tracked.m_incarnation &&
         aAnnounced.m_startedAtMs < tracked.m_startedAtMs;
}

} // namespace

bool
IsOutdated(const Worker& aWorker, const WorkerAnnounced& aAnnounced)
{
  const auto isOfAnnounced = [&](const WorkerStart& aEnded) {
    return aEnded.m_incarnation == aAnnounced.m_incarnation &&
           aEnded.m_startedAtMs >= aAnnounced.m_startedAtMs;
  };
  if (std::any_of(aWorker.m_endedIncarnations.begin(),
                  aWorker.m_endedIncarnations.end(),
                  isOfAnnounced)) {
    return true;
  }
  if (IsOfEarlierStart(aWorker, aAnnounced)) {
    return true;
  }
  if (aAnnounced.m_sequence == 0 ||
      aAnnounced.m_incarnation != aWorker.m_announcedBy.m_incarnation) {
    return false;
  }
  return std::tie(aAnnounced.m_startedAtMs, aAnnounced.m_sequence) <=
         std::tie(aWorker.m_announcedBy.m_startedAtMs, aWorker.m_lastSequence);
}

bool
HasCurrentAnnouncement(const Worker& aWorker)
{
  const WorkerStart& announced = aWorker.m_announcedBy;
  const WorkerStart& tracked = aWorker.m_leasedRuns->m_tracked;
  const bool isStartKnown =
    announced.m_startedAtMs != 0 && tracked.m_startedAtMs != 0;
  return isStartKnown ? announced == tracked
                      : announced.m_incarnation == tracked.m_incarnation;
}

void
RecordEnded(Worker& aWorker, const std::string& aIncarnation)
{
  if (aIncarnation.empty()) {
    return;
  }
  const WorkerStart& tracked = aWorker.m_leasedRuns->m_tracked;
  aWorker.m_endedIncarnations.push_back(
    aWorker.m_announcedBy.m_incarnation == aIncarnation
      ? aWorker.m_announcedBy
      : WorkerStart{ aIncarnation, tracked.m_startedAtMs });
  if (aWorker.m_endedIncarnations.size() > kMaxEndedIncarnations) {
    aWorker.m_endedIncarnations.pop_front();
  }
}

void
CheckRestart(AgentBoard& aBoard, Worker& aWorker, std::uint64_t aStartedAtMs)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (aStartedAtMs <= state.m_tracked.m_startedAtMs) {
    return;
  }
  state.m_hasRestarted = state.m_tracked.m_startedAtMs != 0;
  state.m_tracked.m_startedAtMs = aStartedAtMs;
  state.m_lastEnd = 0;
  state.m_acknowledgedRun = 0;
  state.m_clock = {};
  if (!state.m_hasRestarted) {
    return;
  }
  // A start that was sent before the restart was known has a deadline on the
  // clock of the earlier start, which is far ahead.
  state.m_runsEndBy =
    std::max(state.m_runsEndBy,
             LatestRunEnd(aBoard.m_now, aBoard.m_policy.m_maxRunLease));
  if (aWorker.m_announcedBy.m_startedAtMs == 0) {
    // The announcement doesn't tell its start, so it may be an earlier one.
    aWorker.m_announcedBy = {};
  }
  RaiseFencingToken(aBoard, aWorker, "the worker has started again");
  ScheduleAnnounceToAll(aBoard);
}

} // namespace mulberrysail::core::agent
