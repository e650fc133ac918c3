#pragma once

#include "core/internal/entry/submission.h"
#include "core/types/events.h"

#include <vector>

namespace mulberrysail::core {

/** Gives a new job its steps, with what follows each of its tasks.
 * @param aJob its items are set.
 * @param aSteps as submitted; empty for a single step. */
void
SetSteps(Submission& aJob, const std::vector<StepSpec>& aSteps);

/** @return expected run of the longest chain of tasks that wait for each
 * other. */
Duration
LongestChainOf(const Submission& aJob);

/** @return whether all that step @p aStep waits for is done. */
bool
IsStepReady(const Submission& aJob, std::uint32_t aStep);

/** @return the tasks that wait for no other one any more and were blocked. */
std::vector<std::uint32_t>
UnblockedBy(const Submission& aJob, std::uint32_t aStep);

/** @return whether @p aAgent holds as many tasks of the item's step as one
 * worker may. */
bool
HasReachedStepLimit(const Submission& aJob,
                    const WorkItem& aItem,
                    const ProcessId& aAgent);

} // namespace mulberrysail::core
