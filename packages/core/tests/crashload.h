#pragma once

#include "core/internal/entry/queueisolation.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** The jobs of one queue, some of which have a task that crashes its worker. */
struct QueueLoad
{
  std::string m_queue;
  double m_jobsPerSecond = 0;
  std::size_t m_tasks = 1;
  Duration m_run{};
  /** Share of the jobs whose first task crashes its worker. */
  double m_crashingShare = 0;
};

/** Workers that run the jobs of some queues, crash and start again, and the
 * entries' decisions on the isolation of queues. Each entry gets a share of the
 * jobs, and sees only its own runs complete. */
class CrashLoad
{
public:
  CrashLoad(std::vector<QueueLoad> aQueues, std::uint32_t aSeed);

  /** Plays the load for @p aTime. */
  void Play(Duration aTime);

  /** @return whether all entries isolate a queue. */
  bool IsIsolated(const std::string& aQueue) const;
  /** @return whether any entry isolates a queue. */
  bool IsAnyIsolated() const;
  QueueLoad& Queue(const std::string& aName);
  /** @return for how long entries isolated a queue, in sum. */
  Duration IsolatedFor(const std::string& aQueue) const;
  /** @return the share of a queue's tasks that completed since the last call.
   */
  double TakeServedShare(const std::string& aQueue);

private:
  struct Run
  {
    const QueueLoad* m_load = nullptr;
    std::size_t m_entry = 0;
    Instant m_startedAt;
    bool m_crashes = false;
  };
  /** A task that waits for a free slot. */
  struct Task
  {
    Run m_run;
    Instant m_until;
  };
  struct Worker
  {
    std::vector<Run> m_runs;
    Instant m_upAt;
  };
  struct Detected
  {
    Instant m_crashedAt;
    WorkerCrash m_crash;
  };
  struct Served
  {
    double m_tasks = 0;
    double m_completed = 0;
  };

  void Step();
  void Submit(const QueueLoad& aLoad);
  /** @return a worker with a free slot on which @p aEntry may start tasks of
   * the queue, or null. */
  Worker* Pick(std::size_t aEntry, const std::string& aQueue);
  /** Starts waiting tasks on the workers with free slots. */
  void Start();
  void EndRuns(Worker& aWorker);
  void Crash(Worker& aWorker);
  void Update();
  double Random();

  boost::random::mt19937 m_random;
  std::vector<QueueLoad> m_queues;
  std::vector<Worker> m_workers;
  std::deque<Task> m_waiting;
  std::deque<Detected> m_detected;
  std::vector<QueueIsolation> m_entries;
  std::map<std::string, Duration> m_isolatedFor;
  std::map<std::string, Served> m_served;
  Instant m_now = Instant(std::chrono::seconds(100));
  std::uint64_t m_attempts = 0;
};

} // namespace mulberrysail::core
