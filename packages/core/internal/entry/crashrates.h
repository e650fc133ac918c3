#pragma once

#include "core/types/crash.h"
#include "core/types/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>

namespace mulberrysail::core {

using ValueByQueue = std::map<std::string, double, std::less<>>;

/** @return how likely a run of age @p aAge is to crash its worker now, relative
 * to a run that has only just started. */
double
RelativeCrashRate(Duration aAge);

/** @return the integral of RelativeCrashRate() from the start of a run to
 * @p aAge: how much the run tells about the crashes of its queue. Without a
 * unit. */
double
CrashExposure(Duration aAge);

/** What a crash tells about the queues of the runs that were lost. */
struct CrashObservation
{
  Instant m_at;
  /** The queues with a task that may be the cause and has lost a run before. */
  std::set<std::string> m_repeatedQueues;
  /** Whether another worker crashed at the same time, so that both may have
   * crashed for a reason of their own. */
  bool m_isSimultaneous = false;
  /** Sum of RelativeCrashRate() of the lost runs. */
  ValueByQueue m_relativeRate;
  /** Sum of CrashExposure() of the lost runs. */
  ValueByQueue m_exposure;

  CrashObservation(Instant aAt,
                   const WorkerCrash& aCrash,
                   std::set<std::string> aRepeatedQueues);
};

/** How often runs of a queue crash their worker. */
struct CrashEstimate
{
  /** Expected number of the crashes that runs of the queue have caused. */
  double m_crashes = 0;
  /** Crashes for each unit of CrashExposure(). */
  double m_rate = 0;
  /** Logarithm of the likelihood ratio of the crashes with and without the
   * assumption that runs of the queue crash workers. */
  double m_evidence = 0;
  /** When the latest crash was detected for which the queue is likely to be the
   * cause. */
  Instant m_lastCrashAt = Instant(std::chrono::hours(-1));
};

using CrashEstimates = std::map<std::string, CrashEstimate, std::less<>>;

/**
 * Estimates the rate at which runs of each queue crash workers, by maximum
 * likelihood: a queue with many runs that went on has a low rate, and is not
 * the likely cause of a crash under its runs and those of another queue.
 *
 * @param aCrashes the recent crashes.
 * @param aCompleted the CrashExposure() of the runs that completed in the same
 * time.
 * @param aWorkerTime time for which the workers were up, in sum. Workers also
 * crash for reasons of their own.
 * @return an estimate for each queue that has lost a run.
 */
CrashEstimates
EstimateCrashRates(std::span<const CrashObservation> aCrashes,
                   const ValueByQueue& aCompleted,
                   Duration aWorkerTime);

} // namespace mulberrysail::core
