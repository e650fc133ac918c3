#pragma once

#include "core/types/crash.h"
#include "core/types/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberrysail::core {

/** A run of a task that was lost. */
struct LostRunRecord
{
  AttemptId m_attempt;
  /** The worker that was lost with the run, or the agent, if that is all that
   * is known. */
  std::string m_lostWith;
  /** Probability that this run crashed the worker, from the ages of all runs
   * that were lost at the same time; 0 if they aren't known. */
  double m_blame = 0;
  std::size_t m_otherRuns = 0;
  /** Whether an agent has announced the crash, and has confirmed it. */
  bool m_isCrash = false;
  bool m_isConfirmed = false;
};

/** The lost runs of each task, as far as this entry has lost them itself or
 * received them from agents, which report the losses of all entries. */
class CrashLedger
{
public:
  /** Adds a lost run of which no crash is known; no effect if it is known.
   * @param aTask the caller's name for the task; no effect if empty.
   * @param aAgent the agent that was lost or has lost the run. */
  void AddLoss(Instant aNow,
               const std::string& aTask,
               AttemptId aAttempt,
               const std::string& aAgent);

  /** Adds all runs of a crash; a run that is known is counted once.
   * @return whether the crash was not known. */
  bool AddCrash(Instant aNow, const WorkerCrash& aCrash);

  /** Removes the records of tasks whose first loss is long ago. */
  void Evict(Instant aNow);

  /** @return the number of lost runs of a task. */
  std::size_t LostRunsOf(std::string_view aTask) const;

  /** @return the number of lost runs of a task with which a worker crashed, as
   * far as announced. */
  std::size_t CrashesOf(std::string_view aTask) const;

  /** @return those whose worker is known to have started again. */
  std::size_t ConfirmedCrashesOf(std::string_view aTask) const;

  /** @return the number of lost runs of a task that may have crashed their
   * worker. */
  std::size_t SuspectedRunsOf(std::string_view aTask) const;

  /** @return whether the lost runs of the task show that it crashes workers. */
  bool IsProven(std::string_view aTask) const;

  /** @return with which workers the runs of a task were lost, and how many
   * other runs with each, for answers and logs. */
  std::string Describe(std::string_view aTask) const;

private:
  LostRunRecord& FindOrAdd(Instant aNow,
                           const std::string& aTask,
                           AttemptId aAttempt);
  using RunFilter = bool (*)(const LostRunRecord&);
  std::size_t CountRuns(std::string_view aTask, RunFilter aFilter) const;
  const std::vector<LostRunRecord>* Find(std::string_view aTask) const;

  std::unordered_map<std::string, std::vector<LostRunRecord>> m_tasks;
  /** When each task was recorded, the oldest first. */
  std::deque<std::pair<Instant, std::string>> m_recorded;
};

/** @return for each run of @p aCrash the probability that it has crashed the
 * worker, which is the higher the younger the run was. */
std::vector<double>
BlameOfRuns(const WorkerCrash& aCrash);

} // namespace mulberrysail::core
