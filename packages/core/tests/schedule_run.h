#pragma once

#include "core/tests/schedule_plan.h"

#include <ostream>
#include <string>

namespace mulberrysail::core {

/** The result of one schedule. */
struct ScheduleResult
{
  std::uint64_t m_seed = 0;
  /** The first violation of an invariant; empty if there was none. */
  std::string m_violation;
  std::uint64_t m_steps = 0;
  std::size_t m_answers = 0;
  /** Number of answers without an error. */
  std::size_t m_complete = 0;
  /** Number of jobs that entries forwarded. */
  std::uint64_t m_forwarded = 0;
};

/**
 * Runs one schedule to its end, or to the first violation.
 * @param aTrace receives a line for each step; may be null.
 */
ScheduleResult
RunSchedule(std::uint64_t aSeed, Mutation aMutation, std::ostream* aTrace);

} // namespace mulberrysail::core
