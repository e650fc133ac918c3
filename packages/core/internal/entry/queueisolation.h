#pragma once

#include "core/internal/entry/crashrates.h"
#include "core/internal/entry/exposurehistory.h"
#include "core/types/crash.h"
#include "core/types/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
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
  /** Crashes of the recent past. */
  std::size_t m_crashes = 0;
  CrashEstimate m_estimate;
};

/** Decides which queues are isolated because their tasks crash workers.
 *
 * Workers also crash for reasons of their own, several at the same time. A task
 * that loses a run with one worker and then with another, or crashes at
 * different times that all point to one queue, are the sign that tasks are the
 * cause; EstimateCrashRates() tells of which queues. A queue is
 * released when its runs complete without a crash, or when other queues turn
 * out to explain the crashes. */
class QueueIsolation
{
public:
  /**
   * Adds a crash.
   * @param aAt when it was detected.
   * @param aRepeatedQueues the queues with a run that may be the cause and is
   * of a task that has already lost a run with another worker.
   */
  void AddCrash(Instant aAt,
                const WorkerCrash& aCrash,
                std::set<std::string> aRepeatedQueues);

  /**
   * Adds a completed run.
   * @param aRuns the number of runs for which it stands: those of other entries
   * are not known.
   */
  void AddCompletedRun(Instant aNow,
                       std::string_view aQueue,
                       Duration aRanFor,
                       std::uint32_t aRuns);

  /**
   * Isolates and releases queues by the crashes and completed runs so far.
   * @param aActive the queues that have got jobs lately. A queue is isolated
   * only for the sake of others.
   * @param aWorkers the number of workers.
   * @return the changes.
   */
  std::vector<IsolationChange> Update(Instant aNow,
                                      std::span<const std::string> aActive,
                                      std::size_t aWorkers);

  bool Contains(std::string_view aQueue) const
  {
    return m_isolated.find(aQueue) != m_isolated.end();
  }
  bool Empty() const { return m_isolated.empty(); }
  std::size_t Size() const { return m_isolated.size(); }

private:
  struct IsolatedQueue
  {
    Instant m_since;
    /** The last estimate by which the queue caused a crash. */
    CrashEstimate m_estimate;
  };

  /** Estimates the rates of crashes from the crashes that count. */
  CrashEstimates Estimate(Instant aNow, std::size_t aWorkers);
  /** @return since when crashes count. Those for which a queue is isolated
   * count until its release, as another queue may turn out to be the cause. */
  Instant WindowStart(Instant aNow) const;
  std::vector<IsolationChange> Release(Instant aNow,
                                       const CrashEstimates& aEstimates);
  std::vector<IsolationChange> Isolate(Instant aNow,
                                       const CrashEstimates& aEstimates,
                                       std::span<const std::string> aActive);
  /** @return the CrashEstimate::m_evidence that isolates @p aQueue. */
  double MinEvidence(Instant aNow, const std::string& aQueue) const;
  /** @return whether a queue other than @p aQueue is in use and not isolated.
   */
  bool IsOtherInUse(std::string_view aQueue,
                    std::span<const std::string> aActive) const;
  bool HasEndedCrashing(Instant aNow,
                        std::string_view aQueue,
                        const CrashEstimate& aEstimate) const;
  /** Removes the crashes up to the last one of a released queue. */
  void RemoveCrashesUntil(Instant aUntil);

  std::deque<CrashObservation> m_crashes;
  ExposureHistory m_completed;
  std::map<std::string, IsolatedQueue, std::less<>> m_isolated;
};

} // namespace mulberrysail::core
