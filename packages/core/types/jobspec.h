#pragma once

#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** The parts of a job as its caller submitted it. */
namespace mulberrysail::core {

/** One task of a job. */
struct TaskSpec
{
  Resources m_need;
  std::optional<Duration> m_declaredRun;
  std::string m_payload;
  /** The caller's name for the task; empty if there is none. */
  std::string m_name = {};
  /** The label that a worker must have to run the task; empty for any
   * worker. */
  std::string m_requiredLabel = {};
  /** The label of the workers that run the task fastest; empty if all workers
   * are equal. */
  std::string m_preferredLabel = {};
  /** The index of the task's step in SubmitJob::m_steps. */
  std::uint32_t m_step = 0;
};

/** One step of a job: the constraints that its tasks share. */
struct StepSpec
{
  /** Indexes, in SubmitJob::m_steps, of earlier steps. This step starts after
   * all their tasks have completed. */
  std::vector<std::uint32_t> m_prerequisites;
  /** The most tasks of the step that may run concurrently on one worker; zero
   * for no limit. */
  std::uint32_t m_maxPerWorker = 0;
};

} // namespace mulberrysail::core
