#include "core/internal/agent/incarnations.h"

#include "core/internal/agent/fencing.h"

#include <algorithm>
#include <tuple>

namespace mulberrysail::core::agent {

namespace {

/** Announcements are late by few restarts of their worker. */
constexpr std::size_t kMaxEndedIncarnations = 16;

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
  if (aAnnounced.m_sequence == 0 ||
      aAnnounced.m_incarnation != aWorker.m_announcedBy) {
    return false;
  }
  return std::tie(aAnnounced.m_startedAtMs, aAnnounced.m_sequence) <=
         std::tie(aWorker.m_announcedStartMs, aWorker.m_lastSequence);
}

void
RecordEnded(Worker& aWorker, const std::string& aIncarnation)
{
  if (aIncarnation.empty()) {
    return;
  }
  const std::uint64_t startedAtMs = aWorker.m_announcedBy == aIncarnation
                                      ? aWorker.m_announcedStartMs
                                      : aWorker.m_leasedRuns->m_startedAtMs;
  aWorker.m_endedIncarnations.push_back({ aIncarnation, startedAtMs });
  if (aWorker.m_endedIncarnations.size() > kMaxEndedIncarnations) {
    aWorker.m_endedIncarnations.pop_front();
  }
}

void
CheckRestart(AgentBoard& aBoard, Worker& aWorker, std::uint64_t aStartedAtMs)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  if (aStartedAtMs <= state.m_startedAtMs) {
    return;
  }
  state.m_hasRestarted = state.m_startedAtMs != 0;
  state.m_startedAtMs = aStartedAtMs;
  state.m_lastEnd = 0;
  state.m_acknowledgedRun = 0;
  state.m_clock = {};
  if (state.m_hasRestarted) {
    RaiseFencingToken(aBoard, aWorker, "the worker has started again");
  }
}

} // namespace mulberrysail::core::agent
