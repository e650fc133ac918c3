#include "core/tests/modelworker.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** See the platform's max-hold-ms and stop-ms. */
constexpr milliseconds kMaxLease{ 1000 };
constexpr milliseconds kEndDelay{ 45 };
constexpr WorkerInstant kClockStart{ std::chrono::hours(1) };

} // namespace

ModelWorker::ModelWorker(double aClockRate)
  : m_clockRate(aClockRate)
{
}

void
ModelWorker::Restart(Instant aNow)
{
  m_startedAt = aNow;
  m_startedAtMs += 1;
  m_token = 0;
  m_leaseEndsAt = {};
  m_endsAt.reset();
  m_running.clear();
  m_lastStart.clear();
  m_ended.clear();
  m_lastEnd = 0;
}

WorkerInstant
ModelWorker::ClockAt(Instant aNow) const
{
  const std::chrono::duration<double, std::milli> passed =
    (aNow - m_startedAt) * m_clockRate;
  const WorkerInstant start =
    m_startedAt == Instant() ? kClockStart : WorkerInstant();
  return start + std::chrono::floor<milliseconds>(passed);
}

bool
ModelWorker::IsFenced(const RunTarget& aTarget)
{
  const bool isFenced = aTarget.m_fencingToken < m_token;
  m_token = std::max(m_token, aTarget.m_fencingToken);
  return isFenced;
}

void
ModelWorker::ExtendLease(std::optional<WorkerInstant> aEndsAt, Instant aNow)
{
  if (!aEndsAt) {
    return;
  }
  m_leaseEndsAt =
    std::max(m_leaseEndsAt, std::min(*aEndsAt, ClockAt(aNow) + kMaxLease));
}

void
ModelWorker::Complete(const RunName& aRun)
{
  End(aRun, RunEnd::Completed);
}

void
ModelWorker::End(const RunName& aRun, RunEnd aEnd)
{
  m_running.erase(aRun);
  m_lastStart[aRun.m_task] =
    std::max(m_lastStart[aRun.m_task], aRun.m_startNumber);
  m_ended.push_back({ ++m_lastEnd, aRun, aEnd });
}

void
ModelWorker::EndExpiredRuns(Instant aNow)
{
  if (!m_endsAt && !m_running.empty() && ClockAt(aNow) >= m_leaseEndsAt) {
    m_endsAt = aNow + kEndDelay;
  }
  if (!m_endsAt || *m_endsAt > aNow) {
    return;
  }
  m_endsAt.reset();
  while (!m_running.empty()) {
    const RunName run = *m_running.begin();
    End(run);
  }
}

StartAnswered
ModelWorker::Start(const StartRun& aStart, Instant aNow)
{
  if (IsFenced(aStart.m_target)) {
    return { aStart.m_run, StartResult::Fenced, {}, ClockAt(aNow) };
  }
  ExtendLease(aStart.m_leaseEndsAt, aNow);
  const bool isOld =
    m_lastStart[aStart.m_name.m_task] >= aStart.m_name.m_startNumber;
  if (isOld || m_leaseEndsAt <= ClockAt(aNow)) {
    return { aStart.m_run, StartResult::Rejected, {}, ClockAt(aNow) };
  }
  m_running.insert(aStart.m_name);
  return { aStart.m_run, StartResult::Started, {}, ClockAt(aNow) };
}

StopAnswered
ModelWorker::Stop(const StopRun& aStop)
{
  if (IsFenced(aStop.m_target)) {
    return { aStop.m_run, false };
  }
  if (m_running.contains(aStop.m_name)) {
    End(aStop.m_name);
  }
  return { aStop.m_run, true };
}

RunsObserved
ModelWorker::Observe(const ObserveRuns& aObserve, Instant aNow)
{
  RunsObserved observed;
  observed.m_worker = aObserve.m_target.m_name;
  observed.m_incarnation = aObserve.m_target.m_incarnation;
  observed.m_observationId = aObserve.m_observationId;
  if (IsFenced(aObserve.m_target)) {
    observed.m_result = ObserveResult::Fenced;
    return observed;
  }
  ExtendLease(aObserve.m_renewUntil, aNow);
  std::erase_if(m_ended, [&](const EndedRun& aEnded) {
    return aEnded.m_number <= aObserve.m_acknowledgedRun;
  });
  observed.m_result = ObserveResult::Observed;
  observed.m_running.assign(m_running.begin(), m_running.end());
  observed.m_ended = m_ended;
  observed.m_startedAtMs = m_startedAtMs;
  observed.m_clock = ClockAt(aNow);
  return observed;
}

} // namespace mulberrysail::core
