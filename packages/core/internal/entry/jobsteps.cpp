#include "core/internal/entry/jobsteps.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** @return for each step, the expected run time of the longest chain of steps
 * that depend on it. */
std::vector<Duration>
SuccessorRuns(const std::vector<StepState>& aSteps)
{
  std::vector<Duration> successorRuns(aSteps.size());
  // A step depends only on earlier steps, so one pass from the end is enough.
  for (std::size_t step = aSteps.size(); step > 0; --step) {
    const Duration chain = successorRuns[step - 1] + aSteps[step - 1].m_longest;
    for (const std::uint32_t earlier : aSteps[step - 1].m_prerequisites) {
      successorRuns[earlier] = std::max(successorRuns[earlier], chain);
    }
  }
  return successorRuns;
}

} // namespace

void
SetSteps(Submission& aJob, const std::vector<StepSpec>& aSteps)
{
  aJob.m_steps.resize(std::max<std::size_t>(aSteps.size(), 1));
  for (std::size_t step = 0; step < aSteps.size(); ++step) {
    aJob.m_steps[step].m_prerequisites = aSteps[step].m_prerequisites;
    aJob.m_steps[step].m_maxTasksPerAgent = aSteps[step].m_maxPerWorker;
  }
  for (const WorkItem& item : aJob.m_items) {
    StepState& step = aJob.m_steps.at(item.m_step);
    ++step.m_unfinishedTasks;
    step.m_longest = std::max(step.m_longest, item.m_expectedRun);
  }
  const std::vector<Duration> successorRuns = SuccessorRuns(aJob.m_steps);
  for (WorkItem& item : aJob.m_items) {
    item.m_successorRun = successorRuns[item.m_step];
    item.m_state =
      IsStepReady(aJob, item.m_step) ? WorkState::Waiting : WorkState::Blocked;
  }
}

Duration
LongestChainOf(const Submission& aJob)
{
  Duration longest{};
  for (const WorkItem& item : aJob.m_items) {
    longest = std::max(longest, item.m_expectedRun + item.m_successorRun);
  }
  return longest;
}

bool
IsStepReady(const Submission& aJob, std::uint32_t aStep)
{
  const std::vector<std::uint32_t>& after =
    aJob.m_steps.at(aStep).m_prerequisites;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
    return aJob.m_steps[aEarlier].m_unfinishedTasks == 0;
  });
}

std::vector<std::uint32_t>
UnblockedBy(const Submission& aJob, std::uint32_t aStep)
{
  std::vector<std::uint32_t> unblocked;
  if (aJob.m_steps.at(aStep).m_unfinishedTasks > 0) {
    return unblocked;
  }
  for (std::uint32_t i = 0; i < aJob.m_items.size(); ++i) {
    const WorkItem& item = aJob.m_items[i];
    if (item.m_state == WorkState::Blocked && IsStepReady(aJob, item.m_step)) {
      unblocked.push_back(i);
    }
  }
  return unblocked;
}

bool
HasReachedStepLimit(const Submission& aJob,
                    const WorkItem& aItem,
                    const ProcessId& aAgent)
{
  const std::uint32_t most = aJob.m_steps.at(aItem.m_step).m_maxTasksPerAgent;
  if (most == 0) {
    return false;
  }
  const std::ptrdiff_t held = std::count_if(
    aJob.m_items.begin(), aJob.m_items.end(), [&](const WorkItem& aOther) {
      return aOther.m_step == aItem.m_step &&
             aOther.m_state == WorkState::Offered && aOther.m_agent == aAgent;
    });
  return held >= static_cast<std::ptrdiff_t>(most);
}

} // namespace mulberrysail::core
