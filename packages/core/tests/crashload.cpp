#include "core/tests/crashload.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kWorkers = 11;
/** The workers that take the tasks of isolated queues. */
constexpr std::size_t kIsolatedWorkers = 3;
constexpr std::size_t kSlots = 10;
constexpr std::size_t kEntries = 3;
constexpr Duration kStep = milliseconds(1);
constexpr Duration kRestart = std::chrono::seconds(3);
/** How long a task may wait for a free slot. */
constexpr Duration kMaxWait = milliseconds(400);
/** Time from a crash until the entry is told. */
constexpr Duration kDetection = milliseconds(560);
/** Time from the start of a task until it crashes its worker. */
constexpr Duration kCrashAfter = milliseconds(4);

} // namespace

CrashLoad::CrashLoad(std::vector<QueueLoad> aQueues, std::uint32_t aSeed)
  : m_random(aSeed)
  , m_queues(std::move(aQueues))
  , m_workers(kWorkers)
  , m_entries(kEntries)
{
}

void
CrashLoad::Play(Duration aTime)
{
  for (const Instant end = m_now + aTime; m_now < end; m_now += kStep) {
    Step();
  }
}

QueueLoad&
CrashLoad::Queue(const std::string& aName)
{
  return *std::find_if(
    m_queues.begin(), m_queues.end(), [&](const QueueLoad& aLoad) {
      return aLoad.m_queue == aName;
    });
}

bool
CrashLoad::IsIsolated(const std::string& aQueue) const
{
  return std::all_of(
    m_entries.begin(), m_entries.end(), [&](const QueueIsolation& aEntry) {
      return aEntry.Contains(aQueue);
    });
}

bool
CrashLoad::IsAnyIsolated() const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [](const QueueIsolation& aEntry) {
      return !aEntry.Empty();
    });
}

Duration
CrashLoad::IsolatedFor(const std::string& aQueue) const
{
  const auto found = m_isolatedFor.find(aQueue);
  return found == m_isolatedFor.end() ? Duration::zero() : found->second;
}

double
CrashLoad::TakeServedShare(const std::string& aQueue)
{
  const Served served = std::exchange(m_served[aQueue], {});
  return served.m_completed / std::max(served.m_tasks, 1.0);
}

void
CrashLoad::Step()
{
  const double seconds = std::chrono::duration<double>(kStep).count();
  for (const QueueLoad& load : m_queues) {
    if (Random() < load.m_jobsPerSecond * seconds) {
      Submit(load);
    }
    for (const QueueIsolation& entry : m_entries) {
      m_isolatedFor[load.m_queue] +=
        entry.Contains(load.m_queue) ? kStep : Duration::zero();
    }
  }
  for (Worker& worker : m_workers) {
    EndRuns(worker);
  }
  Start();
  Update();
}

void
CrashLoad::Submit(const QueueLoad& aLoad)
{
  const std::size_t entry = m_random() % kEntries;
  const bool crashes = Random() < aLoad.m_crashingShare;
  m_served[aLoad.m_queue].m_tasks += static_cast<double>(aLoad.m_tasks);
  for (std::size_t task = 0; task < aLoad.m_tasks; ++task) {
    m_waiting.push_back(
      { { &aLoad, entry, m_now, crashes && task == 0 }, m_now + kMaxWait });
  }
}

void
CrashLoad::Start()
{
  std::erase_if(m_waiting, [&](Task& aTask) {
    if (aTask.m_until <= m_now) {
      return true;
    }
    Worker* const worker =
      Pick(aTask.m_run.m_entry, aTask.m_run.m_load->m_queue);
    if (worker != nullptr) {
      aTask.m_run.m_startedAt = m_now;
      worker->m_runs.push_back(aTask.m_run);
    }
    return worker != nullptr;
  });
}

CrashLoad::Worker*
CrashLoad::Pick(std::size_t aEntry, const std::string& aQueue)
{
  const QueueIsolation& isolation = m_entries[aEntry];
  std::vector<Worker*> free;
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const bool isAllowed =
      isolation.Empty() || isolation.Contains(aQueue) == (i < kIsolatedWorkers);
    Worker& worker = m_workers[i];
    if (isAllowed && worker.m_upAt <= m_now && worker.m_runs.size() < kSlots) {
      free.push_back(&worker);
    }
  }
  return free.empty() ? nullptr : free[m_random() % free.size()];
}

void
CrashLoad::EndRuns(Worker& aWorker)
{
  const bool hasCrashed = std::any_of(
    aWorker.m_runs.begin(), aWorker.m_runs.end(), [&](const Run& aRun) {
      return aRun.m_crashes && aRun.m_startedAt + kCrashAfter <= m_now;
    });
  if (hasCrashed) {
    Crash(aWorker);
    return;
  }
  std::erase_if(aWorker.m_runs, [&](const Run& aRun) {
    const bool hasEnded = aRun.m_startedAt + aRun.m_load->m_run <= m_now;
    if (hasEnded) {
      m_entries[aRun.m_entry].AddCompletedRun(
        m_now, aRun.m_load->m_queue, aRun.m_load->m_run, kEntries);
      m_served[aRun.m_load->m_queue].m_completed += 1;
    }
    return hasEnded;
  });
}

void
CrashLoad::Crash(Worker& aWorker)
{
  WorkerCrash crash;
  for (const Run& run : aWorker.m_runs) {
    crash.m_runs.push_back({ { ++m_attempts },
                             std::to_string(m_attempts),
                             run.m_load->m_queue,
                             m_now - run.m_startedAt });
  }
  aWorker.m_runs.clear();
  aWorker.m_upAt = m_now + kRestart;
  m_detected.push_back({ m_now, std::move(crash) });
}

void
CrashLoad::Update()
{
  bool anyNew = false;
  while (!m_detected.empty() &&
         m_detected.front().m_crashedAt + kDetection <= m_now) {
    for (QueueIsolation& entry : m_entries) {
      entry.AddCrash(m_now, m_detected.front().m_crash, {});
    }
    m_detected.pop_front();
    anyNew = true;
  }
  const bool isCheckDue =
    m_now.time_since_epoch() % std::chrono::seconds(1) == Duration::zero();
  if (anyNew || isCheckDue) {
    std::vector<std::string> active;
    for (const QueueLoad& load : m_queues) {
      active.push_back(load.m_queue);
    }
    for (QueueIsolation& entry : m_entries) {
      entry.Update(m_now, active, kWorkers);
    }
  }
}

double
CrashLoad::Random()
{
  return boost::random::uniform_01<double>()(m_random);
}

} // namespace mulberrysail::core
