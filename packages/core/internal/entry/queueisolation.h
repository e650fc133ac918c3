#pragma once

#include "core/types/crash.h"
#include "core/types/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::core {

/** A change of the isolation of one queue. */
struct IsolationChange
{
  std::string m_queue;
  bool m_isolated = false;
  /** Crashes of the recent past, and the queue's share of their blame. */
  std::size_t m_crashes = 0;
  double m_blameShare = 0;
};

/** Decides which queues are isolated because their tasks crash workers.
 *
 * Workers also crash for reasons of their own, several at the same time. A task
 * that loses a run with one worker and then with another is the sign that tasks
 * are the cause; the blame of all runs, see BlameOfRuns(), tells of which
 * queue. A queue is released when no crash was blamed on it for a while. */
class QueueIsolation
{
public:
  /**
   * Adds a crash.
   * @param aAt when it was detected.
   * @param aBlame the blame of each run.
   * @param aHasRepeat whether a run to blame is of a task that has already lost
   * a run with another worker.
   */
  void AddCrash(Instant aAt,
                const WorkerCrash& aCrash,
                std::span<const double> aBlame,
                bool aHasRepeat);

  /**
   * Isolates and releases queues by the crashes so far.
   * @param aActive the queues that have got jobs lately. A queue is isolated
   * only for the sake of others.
   * @return the changes.
   */
  std::vector<IsolationChange> Update(Instant aNow,
                                      std::span<const std::string> aActive);

  bool Contains(std::string_view aQueue) const
  {
    return m_isolated.find(aQueue) != m_isolated.end();
  }
  bool Empty() const { return m_isolated.empty(); }
  std::size_t Size() const { return m_isolated.size(); }

private:
  struct Crash
  {
    Instant m_at;
    bool m_hasRepeat = false;
    std::map<std::string, double, std::less<>> m_blameByQueue;
  };

  void Evict(Instant aNow);
  std::vector<IsolationChange> Release(Instant aNow);
  std::vector<IsolationChange> Isolate(Instant aNow,
                                       std::span<const std::string> aActive);
  /** @return the blame of each queue for the crashes that no isolated queue
   * explains. */
  std::map<std::string, double, std::less<>> SumBlame() const;

  std::deque<Crash> m_crashes;
  /** The isolated queues, and when a crash was last blamed on each. */
  std::map<std::string, Instant, std::less<>> m_isolated;
};

} // namespace mulberrysail::core
