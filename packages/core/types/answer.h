#pragma once

#include "core/types/errorkind.h"
#include "core/types/ids.h"
#include "core/types/time.h"

#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** The final answer to a submission; a success if m_kind is None. */
struct Answer
{
  SubmissionId m_submission;
  ErrorKind m_kind = ErrorKind::None;
  /** What is proven about execution: MayHaveRun unless it is certain that the
   * work ran or did not run. */
  Execution m_execution = Execution::Ran;
  std::string m_detail;
  /** The time after which to retry; absent if a retry cannot help. */
  std::optional<Duration> m_retryAfter;
  /** The outputs of all tasks in the job's order (one output for a request);
   * empty unless the submission succeeded. */
  std::vector<std::string> m_outputs;
  /** The run time as measured by the agent; for a job, that of its longest
   * task. Zero if unknown. */
  Duration m_ranFor{};
};

} // namespace mulberrysail::core
