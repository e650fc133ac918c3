#include "core/internal/agent/crashlog.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** How long a crash is kept. Callers submit a job again within seconds. */
constexpr Duration kRetention = std::chrono::minutes(2);
/** Limits the size of an announcement to an entry that has just started. */
constexpr std::size_t kMaxCrashes = 16;
/** Most runs of one crash that are recorded; the youngest are. */
constexpr std::size_t kMaxRuns = 32;

LostRun
Describe(const Attempt& aAttempt, Instant aLastAnswerAt)
{
  const Offer& offer = aAttempt.m_offer;
  return { offer.m_attempt,
           offer.m_name,
           offer.m_queue,
           std::max(aLastAnswerAt - aAttempt.m_startedAt, Duration::zero()) };
}

/** @return name, queue and age of each run, as one attribute of an event. */
std::string
DescribeRuns(std::span<const LostRun> aRuns)
{
  std::string text;
  for (const LostRun& run : aRuns) {
    const long long age =
      std::chrono::duration_cast<std::chrono::milliseconds>(run.m_age).count();
    text += (text.empty() ? "" : ",") + run.m_task + "/" + run.m_queue + "/" +
            std::to_string(age);
  }
  return text;
}

} // namespace

void
CrashLog::Record(const Worker& aWorker,
                 std::span<Attempt* const> aRuns,
                 std::string_view aCause,
                 bool aIsConfirmed)
{
  if (aRuns.empty()) {
    return;
  }
  WorkerCrash crash;
  crash.m_number = ++m_board.m_crashes.m_lastNumber;
  crash.m_worker = aWorker.m_info.m_name;
  crash.m_isConfirmed = aIsConfirmed;
  for (const Attempt* const attempt : aRuns) {
    crash.m_runs.push_back(
      Describe(*attempt, aWorker.m_leasedRuns->m_lastAnswerAt));
  }
  std::stable_sort(crash.m_runs.begin(),
                   crash.m_runs.end(),
                   [](const LostRun& aLeft, const LostRun& aRight) {
                     return aLeft.m_age < aRight.m_age;
                   });
  crash.m_runs.resize(std::min(crash.m_runs.size(), kMaxRuns));
  ++m_board.m_counters.m_workerCrashes;
  core::agent::Record(
    m_board,
    EventCode::WorkerCrashed,
    crash.m_number,
    EventDetail()
      .Add("worker", crash.m_worker)
      .Add("life", aWorker.m_leasedRuns->m_tracked.m_incarnation)
      .Add("cause", aCause)
      .Add("runs", aRuns.size())
      .Add("task_queue_age", DescribeRuns(crash.m_runs)));
  m_board.m_crashes.m_crashes.push_back({ std::move(crash), m_board.m_now });
  Evict();
  ScheduleAnnounceToAll(m_board);
}

void
CrashLog::Confirm(const Worker& aWorker)
{
  std::deque<RecordedCrash>& crashes = m_board.m_crashes.m_crashes;
  const auto last = std::find_if(
    crashes.rbegin(), crashes.rend(), [&](const RecordedCrash& aCrash) {
      return aCrash.m_crash.m_worker == aWorker.m_info.m_name;
    });
  if (last == crashes.rend() || last->m_crash.m_isConfirmed) {
    return;
  }
  last->m_crash.m_isConfirmed = true;
  last->m_crash.m_number = ++m_board.m_crashes.m_lastNumber;
  ScheduleAnnounceToAll(m_board);
}

std::vector<WorkerCrash>
CrashLog::TakeUnsent(EntryRecord& aEntry) const
{
  std::vector<WorkerCrash> unsent;
  for (const RecordedCrash& recorded : m_board.m_crashes.m_crashes) {
    if (recorded.m_crash.m_number > aEntry.m_lastCrashSent) {
      unsent.push_back(recorded.m_crash);
      unsent.back().m_detectedAgo = m_board.m_now - recorded.m_detectedAt;
    }
  }
  std::sort(unsent.begin(),
            unsent.end(),
            [](const WorkerCrash& aLeft, const WorkerCrash& aRight) {
              return aLeft.m_number < aRight.m_number;
            });
  aEntry.m_lastCrashSent = m_board.m_crashes.m_lastNumber;
  return unsent;
}

void
CrashLog::Evict()
{
  std::deque<RecordedCrash>& crashes = m_board.m_crashes.m_crashes;
  while (!crashes.empty() &&
         (crashes.size() > kMaxCrashes ||
          m_board.m_now - crashes.front().m_detectedAt > kRetention)) {
    crashes.pop_front();
  }
}

} // namespace mulberrysail::core::agent
