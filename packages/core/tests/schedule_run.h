#pragma once

#include "core/tests/schedule_plan.h"

#include <ostream>
#include <string>

namespace mulberrysail::core {

/** What came of one schedule. */
struct ScheduleResult
{
  std::uint64_t m_seed = 0;
  /** The first rule that was broken; empty if none was. */
  std::string m_violation;
  std::uint64_t m_steps = 0;
  std::size_t m_answers = 0;
  std::size_t m_complete = 0;
};

/**
 * Runs one schedule to its end.
 * @param aTrace where each step is told; null for nowhere.
 */
ScheduleResult
RunSchedule(std::uint64_t aSeed, Mutation aMutation, std::ostream* aTrace);

} // namespace mulberrysail::core
