#include "core/internal/agent/incarnations.h"

#include "core/internal/agent/fencing.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace mulberrysail::core::agent {

namespace {

/** Announcements are late by few restarts of their worker. */
constexpr std::size_t kMaxEndedIncarnations = 16;
constexpr std::size_t kMaxWorkers = 1024;
/** How long after its last announcement the record of an expired worker is
 * kept. */
constexpr Duration kRecordRetention = std::chrono::seconds(60);

/** @return whether the tracked incarnation has started again since it sent the
 * announcement. */
bool
IsOfEarlierStart(const AgentBoard& aBoard, const WorkerAnnounced& aAnnounced)
{
  const auto worker = aBoard.m_workers.m_workers.find(aAnnounced.m_info.m_name);
  if (worker == aBoard.m_workers.m_workers.end() ||
      !worker->second.m_leasedRuns || aAnnounced.m_startedAtMs == 0) {
    return false;
  }
  const WorkerStart& tracked = worker->second.m_leasedRuns->m_tracked;
  return aAnnounced.m_incarnation == tracked.m_incarnation &&
         aAnnounced.m_startedAtMs < tracked.m_startedAtMs;
}

/** @return whether the announcement isn't newer than the recorded one. */
bool
IsOutdated(const AnnouncementRecord& aRecord, const WorkerAnnounced& aAnnounced)
{
  const auto isOfAnnounced = [&](const WorkerStart& aEnded) {
    return aEnded.m_incarnation == aAnnounced.m_incarnation &&
           aEnded.m_startedAtMs >= aAnnounced.m_startedAtMs;
  };
  if (std::any_of(
        aRecord.m_ended.begin(), aRecord.m_ended.end(), isOfAnnounced)) {
    return true;
  }
  if (aAnnounced.m_sequence == 0 ||
      aAnnounced.m_incarnation != aRecord.m_start.m_incarnation) {
    return false;
  }
  return std::tie(aAnnounced.m_startedAtMs, aAnnounced.m_sequence) <=
         std::tie(aRecord.m_start.m_startedAtMs, aRecord.m_sequence);
}

/** Adds a start that has ended, and drops the oldest of too many. */
void
AddEnded(AnnouncementRecord& aRecord, const WorkerStart& aStart)
{
  aRecord.m_ended.push_back(aStart);
  if (aRecord.m_ended.size() > kMaxEndedIncarnations) {
    aRecord.m_ended.pop_front();
  }
}

/** @return the record of the worker, a new one if there is none; null if there
 * are as many as there may be. */
AnnouncementRecord*
FindOrAddRecord(AgentBoard& aBoard, const std::string& aWorker)
{
  std::map<std::string, AnnouncementRecord, std::less<>>& records =
    aBoard.m_workers.m_announcements;
  const auto known = records.find(aWorker);
  if (known != records.end()) {
    return &known->second;
  }
  return records.size() < kMaxWorkers ? &records[aWorker] : nullptr;
}

} // namespace

bool
RecordAnnounced(AgentBoard& aBoard, const WorkerAnnounced& aAnnounced)
{
  AnnouncementRecord* const record =
    FindOrAddRecord(aBoard, aAnnounced.m_info.m_name);
  if (record == nullptr || IsOutdated(*record, aAnnounced) ||
      IsOfEarlierStart(aBoard, aAnnounced)) {
    return false;
  }
  const WorkerStart start{ aAnnounced.m_incarnation, aAnnounced.m_startedAtMs };
  const bool isOfSameStart = record->m_start == start;
  if (isOfSameStart && record->m_tellsClock && !aAnnounced.m_clock) {
    return false;
  }
  if (!isOfSameStart) {
    record->m_start = start;
    record->m_isLeaving = false;
    record->m_largestCapacity = {};
  }
  record->m_tellsClock = aAnnounced.m_clock.has_value();
  // A worker without incarnations may announce one start after another.
  const bool leftBefore = record->m_isLeaving && !start.m_incarnation.empty();
  record->m_isLeaving = leftBefore || aAnnounced.m_leaving;
  record->m_sequence = aAnnounced.m_sequence;
  record->m_largestCapacity.RaiseTo(aAnnounced.m_info.m_capacity);
  record->m_receivedAt = aBoard.m_now;
  return true;
}

bool
IsLeaving(const AgentBoard& aBoard, const std::string& aWorker)
{
  const auto record = aBoard.m_workers.m_announcements.find(aWorker);
  return record != aBoard.m_workers.m_announcements.end() &&
         record->second.m_isLeaving;
}

void
RecordDeregistered(AgentBoard& aBoard, const WorkerLeft& aLeft)
{
  AnnouncementRecord* const record = FindOrAddRecord(aBoard, aLeft.m_worker);
  if (record == nullptr) {
    return;
  }
  AddEnded(*record, { aLeft.m_incarnation, 0 });
  record->m_receivedAt = aBoard.m_now;
}

void
RemoveOldAnnouncements(AgentBoard& aBoard)
{
  std::erase_if(
    aBoard.m_workers.m_announcements,
    [&](const std::pair<const std::string, AnnouncementRecord>& aEntry) {
      return aBoard.m_now - aEntry.second.m_receivedAt > kRecordRetention &&
             !aBoard.m_workers.m_workers.contains(aEntry.first);
    });
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
RecordEnded(AgentBoard& aBoard,
            const Worker& aWorker,
            const std::string& aIncarnation)
{
  if (aIncarnation.empty()) {
    return;
  }
  const WorkerStart& tracked = aWorker.m_leasedRuns->m_tracked;
  AddEnded(aBoard.m_workers.m_announcements[aWorker.m_info.m_name],
           aWorker.m_announcedBy.m_incarnation == aIncarnation
             ? aWorker.m_announcedBy
             : WorkerStart{ aIncarnation, tracked.m_startedAtMs });
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
  state.m_restartKnownAt = aBoard.m_now;
  // A start that was sent before the restart was known has a deadline on the
  // clock of the earlier start, which is far ahead.
  state.m_runsEndBy =
    std::max(state.m_runsEndBy,
             LatestRunEnd(aBoard.m_now, aBoard.m_policy.m_maxRunLease));
  if (aWorker.m_announcedBy.m_startedAtMs == 0) {
    // The announcement doesn't tell its start, so it may be an earlier one.
    aWorker.m_announcedBy = {};
    AnnouncementRecord& record =
      aBoard.m_workers.m_announcements[aWorker.m_info.m_name];
    record.m_start = {};
    record.m_sequence = 0;
    record.m_isLeaving = false;
  }
  RaiseFencingToken(aBoard, aWorker, "the worker has started again");
  ScheduleAnnounceToAll(aBoard);
}

} // namespace mulberrysail::core::agent
