#include "core/tests/schedule_callers.h"

namespace mulberrysail::core {

namespace {

constexpr Duration kShortestDeadline = std::chrono::milliseconds(100);
constexpr Duration kLongestDeclared = std::chrono::milliseconds(800);
/** Much less than caller keys are remembered. */
constexpr Duration kResubmitWithin = std::chrono::seconds(3);
constexpr std::uint64_t kMostTasks = 6;
constexpr double kKeyedShare = 0.6;
constexpr double kJobShare = 0.3;
constexpr double kRepeatableShare = 0.2;
constexpr double kNumberedShare = 0.7;
constexpr double kCancelShare = 0.15;
constexpr double kOtherService = 0.2;

} // namespace

void
ScheduleCallers::Plan(Instant aFrom)
{
  for (std::uint32_t i = 0; i < m_plan.m_submissions; ++i) {
    const Instant when =
      aFrom + m_world.Random().Between(Duration(0), kScheduleActive);
    const std::string work = "work" + std::to_string(i);
    if (m_plan.m_callerKeys && m_world.Random().Chance(kKeyedShare)) {
      PlanKeyed(work, when);
    } else if (m_plan.m_workers > 0 && m_world.Random().Chance(kJobShare)) {
      m_world.Clock().At(when, [this, work] { SubmitJob(work); });
    } else {
      m_world.Clock().At(when, [this, work] { SubmitRequest(work); });
    }
  }
}

void
ScheduleCallers::PlanKeyed(const std::string& aWork, Instant aFirst)
{
  const bool numbered = m_world.Random().Chance(kNumberedShare);
  const std::uint64_t times = 1 + m_world.Random().Below(3);
  Instant when = aFirst;
  for (std::uint32_t i = 1; i <= times; ++i) {
    m_world.Clock().At(
      when, [this, aWork, i, numbered] { SubmitKeyed(aWork, i, numbered); });
    when += m_world.Random().Between(Duration(0), kResubmitWithin);
  }
}

std::string
ScheduleCallers::Service()
{
  return m_world.Random().Chance(kOtherService) ? "stock" : "photo";
}

ScheduledSubmission
ScheduleCallers::Describe(Duration aDeadline)
{
  ScheduledSubmission submission;
  submission.m_caller = CallerToken{ m_nextCaller++ };
  submission.m_deadline = aDeadline;
  return submission;
}

void
ScheduleCallers::MaybeCancel(std::size_t aEntry, CallerToken aCaller)
{
  if (m_world.Random().Chance(kCancelShare)) {
    m_world.CancelLater(
      aEntry, aCaller, m_world.Random().Between(Duration(0), kLongestDeadline));
  }
}

void
ScheduleCallers::SubmitRequest(const std::string& aWork)
{
  const std::optional<std::size_t> entry = m_world.ReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission =
    Describe(m_world.Random().Between(kShortestDeadline, kLongestDeadline));
  submission.m_repeatable = m_world.Random().Chance(kRepeatableShare);
  submission.m_payloads = { aWork + "#1" };
  core::SubmitRequest request;
  request.m_caller = submission.m_caller;
  request.m_service = Service();
  request.m_team = "default";
  request.m_repeatable = submission.m_repeatable;
  request.m_deadline = submission.m_deadline;
  request.m_declaredRun =
    m_world.Random().Between(kShortestDeadline, kLongestDeclared);
  request.m_payload = submission.m_payloads.front();
  const CallerToken caller = submission.m_caller;
  m_world.Submit(*entry, std::move(request), std::move(submission));
  MaybeCancel(*entry, caller);
}

void
ScheduleCallers::SubmitKeyed(const std::string& aWork,
                             std::uint32_t aTimes,
                             bool aNumbered)
{
  const std::optional<std::size_t> entry = m_world.ReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission =
    Describe(m_world.Random().Between(kShortestDeadline, kLongestDeadline));
  submission.m_keyed = true;
  submission.m_payloads = { aWork + "#" + std::to_string(aTimes) };
  core::SubmitRequest request;
  request.m_caller = submission.m_caller;
  request.m_service = "photo";
  request.m_team = "default";
  request.m_deadline = submission.m_deadline;
  request.m_key = CallerKey{ aWork, aNumbered ? aTimes : 0 };
  request.m_payload = submission.m_payloads.front();
  const CallerToken caller = submission.m_caller;
  m_world.Submit(*entry, std::move(request), std::move(submission));
  MaybeCancel(*entry, caller);
}

void
ScheduleCallers::SubmitJob(const std::string& aWork)
{
  const std::optional<std::size_t> entry = m_world.ReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission =
    Describe(m_world.Random().Between(kShortestDeadline, kLongestDeadline));
  core::SubmitJob job;
  job.m_caller = submission.m_caller;
  job.m_service = "photo";
  job.m_team = "default";
  job.m_deadline = submission.m_deadline;
  const std::uint64_t tasks = 1 + m_world.Random().Below(kMostTasks);
  for (std::uint64_t i = 0; i < tasks; ++i) {
    const std::string payload = aWork + "." + std::to_string(i) + "#1";
    submission.m_payloads.push_back(payload);
    const std::uint32_t cores =
      500 * (1 + static_cast<std::uint32_t>(m_world.Random().Below(4)));
    job.m_tasks.push_back(
      { { cores, 256, 0 },
        m_world.Random().Between(kShortestDeadline, kLongestDeclared),
        payload });
  }
  const CallerToken caller = submission.m_caller;
  m_world.Submit(*entry, std::move(job), std::move(submission));
  MaybeCancel(*entry, caller);
}

} // namespace mulberrysail::core
