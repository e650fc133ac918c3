#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** A run that was lost with its worker. */
struct LostRun
{
  AttemptId m_attempt;
  /** The caller's name for the task; empty if it gave none. */
  std::string m_task;
  /** The queue of the task's job; empty if there is none. */
  std::string m_queue;
  /** Time from the start of the run to the last answer of the worker; zero if
   * the worker has not answered since the start. */
  Duration m_age{};

  bool operator==(const LostRun&) const = default;
};

/** The loss of all runs of a worker at the same time. Its cause may be one of
 * the runs. */
struct WorkerCrash
{
  /** Rises with each crash that one incarnation of an agent records. */
  std::uint64_t m_number = 0;
  std::string m_worker;
  /** Time since the loss was detected. */
  Duration m_detectedAgo{};
  std::vector<LostRun> m_runs;
  /** Whether the worker is known to have started again. If not, it may only
   * have been silent. A crash is announced again, under another number, when
   * this becomes known. */
  bool m_isConfirmed = false;

  bool operator==(const WorkerCrash&) const = default;
};

} // namespace mulberrysail::core
