#pragma once

#include "core/types/errorkind.h"
#include "core/types/ids.h"
#include "core/types/time.h"

#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** The final answer to a submission. Complete if the kind is None. */
struct Answer
{
  SubmissionId m_submission;
  ErrorKind m_kind = ErrorKind::None;
  /** Never better than what is proved; see Execution. */
  Execution m_execution = Execution::Ran;
  std::string m_detail;
  /** When to come back; absent where coming back makes no sense. */
  std::optional<Duration> m_retryAfter;
  /** The outputs of all tasks in their order (one for a request); empty
   * unless the answer is complete. */
  std::vector<std::string> m_outputs;
  /** How long it ran, as agents saw it (of a job, its longest task); zero if
   * that isn't known. */
  Duration m_ranFor{};
};

} // namespace mulberrysail::core
