#pragma once

#include "core/internal/entry/submission.h"
#include "core/types/events.h"

#include <vector>

namespace mulberrysail::core {

/** Sets the steps of a new job, and the successor run and state of its tasks.
 * @param aJob a job whose items are set.
 * @param aSteps as submitted; empty for a single step. */
void
SetSteps(Submission& aJob, const std::vector<StepSpec>& aSteps);

/** @return expected run time of the longest chain of dependent tasks. */
Duration
LongestChainOf(const Submission& aJob);

/** @return whether all steps that step @p aStep depends on are done. */
bool
IsStepReady(const Submission& aJob, std::uint32_t aStep);

/** @return indices of the blocked tasks that became ready; empty while step
 * @p aStep has unfinished tasks. */
std::vector<std::uint32_t>
UnblockedBy(const Submission& aJob, std::uint32_t aStep);

/** @return whether as many tasks of the item's step are offered to @p aAgent as
 * the step allows for one agent. */
bool
HasReachedStepLimit(const Submission& aJob,
                    const WorkItem& aItem,
                    const ProcessId& aAgent);

} // namespace mulberrysail::core
