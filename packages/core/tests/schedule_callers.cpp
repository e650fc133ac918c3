#include "core/tests/schedule_callers.h"

namespace mulberrysail::core {

namespace {

constexpr Duration kShortestDeadline = std::chrono::milliseconds(100);
constexpr Duration kShortestDeclaredRun = std::chrono::milliseconds(100);
constexpr Duration kLongestDeclaredRun = std::chrono::milliseconds(800);
/** Much less than the retention of caller keys. */
constexpr Duration kMaxResubmitDelay = std::chrono::seconds(3);
constexpr std::uint64_t kMostTasks = 6;
constexpr double kKeyedShare = 0.6;
constexpr double kJobShare = 0.3;
constexpr double kRepeatableShare = 0.2;
constexpr double kNumberedShare = 0.7;
constexpr double kCancelShare = 0.15;
constexpr double kOtherServiceShare = 0.2;

} // namespace

void
ScheduleCallers::Plan(Instant aFrom)
{
  for (std::uint32_t i = 0; i < m_plan.m_submissions; ++i) {
    const Instant when =
      aFrom + m_cluster.Random().Between(Duration(0), kActivePhase);
    const std::string work = "work" + std::to_string(i);
    if (m_plan.m_callerKeys && m_cluster.Random().Chance(kKeyedShare)) {
      PlanKeyed(work, when);
    } else if (m_plan.m_workers > 0 && m_cluster.Random().Chance(kJobShare)) {
      m_cluster.Clock().At(when, [this, work] { SubmitJob(work); });
    } else {
      m_cluster.Clock().At(when, [this, work] { SubmitRequest(work); });
    }
  }
}

void
ScheduleCallers::PlanKeyed(const std::string& aWork, Instant aFirst)
{
  const bool numbered = m_cluster.Random().Chance(kNumberedShare);
  const std::uint64_t times = 1 + m_cluster.Random().Below(3);
  Instant when = aFirst;
  for (std::uint32_t i = 1; i <= times; ++i) {
    m_cluster.Clock().At(
      when, [this, aWork, i, numbered] { SubmitKeyed(aWork, i, numbered); });
    when += m_cluster.Random().Between(Duration(0), kMaxResubmitDelay);
  }
}

std::string
ScheduleCallers::Service()
{
  return m_cluster.Random().Chance(kOtherServiceShare) ? "stock" : "photo";
}

ScheduledSubmission
ScheduleCallers::MakeSubmission(Duration aDeadline)
{
  ScheduledSubmission submission;
  submission.m_caller = CallerToken{ m_nextCaller++ };
  submission.m_deadline = aDeadline;
  return submission;
}

void
ScheduleCallers::MaybeCancel(std::size_t aEntry, CallerToken aCaller)
{
  if (m_cluster.Random().Chance(kCancelShare)) {
    m_cluster.CancelLater(
      aEntry,
      aCaller,
      m_cluster.Random().Between(Duration(0), kLongestDeadline));
  }
}

void
ScheduleCallers::SubmitRequest(const std::string& aWork)
{
  const std::optional<std::size_t> entry = m_cluster.RandomReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission = MakeSubmission(
    m_cluster.Random().Between(kShortestDeadline, kLongestDeadline));
  submission.m_repeatable = m_cluster.Random().Chance(kRepeatableShare);
  submission.m_payloads = { aWork + "#1" };
  core::SubmitRequest request;
  request.m_caller = submission.m_caller;
  request.m_service = Service();
  request.m_team = "default";
  request.m_repeatable = submission.m_repeatable;
  request.m_deadline = submission.m_deadline;
  request.m_declaredRun =
    m_cluster.Random().Between(kShortestDeclaredRun, kLongestDeclaredRun);
  request.m_payload = submission.m_payloads.front();
  const CallerToken caller = submission.m_caller;
  m_cluster.Submit(*entry, std::move(request), std::move(submission));
  MaybeCancel(*entry, caller);
}

void
ScheduleCallers::SubmitKeyed(const std::string& aWork,
                             std::uint32_t aSubmissionNumber,
                             bool aNumbered)
{
  const std::optional<std::size_t> entry = m_cluster.RandomReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission = MakeSubmission(
    m_cluster.Random().Between(kShortestDeadline, kLongestDeadline));
  submission.m_keyed = true;
  submission.m_payloads = { aWork + "#" + std::to_string(aSubmissionNumber) };
  core::SubmitRequest request;
  request.m_caller = submission.m_caller;
  request.m_service = "photo";
  request.m_team = "default";
  request.m_deadline = submission.m_deadline;
  request.m_key = CallerKey{ aWork, aNumbered ? aSubmissionNumber : 0 };
  request.m_payload = submission.m_payloads.front();
  const CallerToken caller = submission.m_caller;
  m_cluster.Submit(*entry, std::move(request), std::move(submission));
  MaybeCancel(*entry, caller);
}

void
ScheduleCallers::SubmitJob(const std::string& aWork)
{
  const std::optional<std::size_t> entry = m_cluster.RandomReadyEntry();
  if (!entry) {
    return;
  }
  ScheduledSubmission submission = MakeSubmission(
    m_cluster.Random().Between(kShortestDeadline, kLongestDeadline));
  core::SubmitJob job;
  job.m_caller = submission.m_caller;
  job.m_service = "photo";
  job.m_team = "default";
  if (m_plan.m_forwarding) {
    job.m_queue = "jobs";
    // A job without a name is recognized by its id alone.
    job.m_name = m_cluster.Random().Chance(0.5) ? aWork : std::string();
  }
  job.m_deadline = submission.m_deadline;
  const std::uint64_t tasks = 1 + m_cluster.Random().Below(kMostTasks);
  for (std::uint64_t i = 0; i < tasks; ++i) {
    const std::string payload = aWork + "." + std::to_string(i) + "#1";
    submission.m_payloads.push_back(payload);
    const std::uint32_t millicores =
      500 * (1 + static_cast<std::uint32_t>(m_cluster.Random().Below(4)));
    job.m_tasks.push_back(
      { { millicores, 256, 0 },
        m_cluster.Random().Between(kShortestDeclaredRun, kLongestDeclaredRun),
        payload });
  }
  const CallerToken caller = submission.m_caller;
  m_cluster.Submit(*entry, std::move(job), std::move(submission));
  MaybeCancel(*entry, caller);
}

} // namespace mulberrysail::core
