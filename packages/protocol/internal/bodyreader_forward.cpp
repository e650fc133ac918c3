#include "protocol/internal/bodyreader.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::protocol {

namespace {

/** @return whether each step depends on earlier steps only and each task
 * belongs to a step. A job without steps has one. */
bool
HasValidSteps(const core::ForwardJob& aJob)
{
  for (std::size_t i = 0; i < aJob.m_steps.size(); ++i) {
    const std::vector<std::uint32_t>& earlier = aJob.m_steps[i].m_prerequisites;
    if (std::any_of(earlier.begin(), earlier.end(), [i](std::uint32_t aStep) {
          return aStep >= i;
        })) {
      return false;
    }
  }
  const std::size_t steps = std::max<std::size_t>(aJob.m_steps.size(), 1);
  return std::all_of(
    aJob.m_tasks.begin(),
    aJob.m_tasks.end(),
    [steps](const core::TaskSpec& aTask) { return aTask.m_step < steps; });
}

} // namespace

core::ForwardCancel
BodyReader::ReadBody(const wire::ForwardCancel& aFrom)
{
  core::ForwardCancel cancel;
  for (const std::uint64_t forward : aFrom.forwards()) {
    cancel.m_forwards.push_back({ forward });
  }
  return cancel;
}

core::TaskSpec
BodyReader::ReadTask(wire::ForwardedTask& aFrom)
{
  core::TaskSpec task;
  task.m_need = ReadResources(aFrom.need());
  if (aFrom.has_declared_run()) {
    task.m_declaredRun = ReadRunTime(aFrom.declared_run());
  }
  task.m_payload = std::move(*aFrom.mutable_payload());
  task.m_name = std::move(*aFrom.mutable_name());
  task.m_requiredLabel = std::move(*aFrom.mutable_required_label());
  task.m_preferredLabel = std::move(*aFrom.mutable_preferred_label());
  task.m_step = aFrom.step();
  return task;
}

core::ForwardJob
BodyReader::ReadBody(wire::ForwardJob& aFrom)
{
  core::ForwardJob job;
  job.m_forward = { aFrom.forward() };
  job.m_queue = std::move(*aFrom.mutable_queue());
  job.m_team = std::move(*aFrom.mutable_team());
  job.m_name = std::move(*aFrom.mutable_name());
  job.m_deadlineIn = ReadDuration(aFrom.deadline_in());
  std::size_t repeatedBytes = 0;
  for (wire::ForwardedTask& task : *aFrom.mutable_tasks()) {
    core::TaskSpec read = ReadTask(task);
    if (task.same_payload()) {
      const bool hasPrevious = !job.m_tasks.empty();
      repeatedBytes += hasPrevious ? job.m_tasks.back().m_payload.size() : 0;
      if (!hasPrevious || repeatedBytes > kMaxRepeatedBytes) {
        AddFault("a repeated payload is missing or too large");
        return job;
      }
      read.m_payload = job.m_tasks.back().m_payload;
    }
    job.m_tasks.push_back(std::move(read));
  }
  for (const wire::ForwardedStep& step : aFrom.steps()) {
    job.m_steps.push_back(
      { { step.prerequisites().begin(), step.prerequisites().end() },
        step.max_per_worker() });
  }
  if (!HasValidSteps(job)) {
    AddFault("a step is out of range");
  }
  return job;
}

core::ForwardResult
BodyReader::ReadBody(wire::ForwardResult& aFrom)
{
  core::ForwardResult result;
  result.m_forward = { aFrom.forward() };
  core::Answer& answer = result.m_answer;
  answer.m_submission = { aFrom.submission() };
  answer.m_kind = ReadKind(aFrom.error_kind());
  answer.m_execution = CheckedEnum(aFrom.execution(), core::Execution::Ran);
  answer.m_detail = std::move(*aFrom.mutable_detail());
  if (aFrom.has_retry_after()) {
    answer.m_retryAfter = ReadDuration(aFrom.retry_after());
  }
  answer.m_ranFor = ReadDuration(aFrom.ran_for());
  for (std::string& output : *aFrom.mutable_outputs()) {
    answer.m_outputs.push_back(std::move(output));
  }
  return result;
}

} // namespace mulberrysail::protocol
