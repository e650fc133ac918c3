#include "core/internal/entry/admissioncontroller.h"

#include "core/internal/entry/jobpolicy.h"
#include "core/internal/entry/jobsteps.h"
#include "core/internal/entry/lostruns.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** Share of a request's slack, which is the time to its deadline minus its
 * expected run time. A request is refused because of the arrival rate only if
 * the backlog exceeds this share: a smaller backlog is kept, so that the
 * endpoints stay busy after a burst. The share is divided by the length of the
 * request relative to the mean, if the request is longer. */
constexpr double kMaxBacklogShare = 0.35;
/** A request of a team with a larger fair-share lag than this is admitted
 * whatever the load: it is ordered before the backlog of other teams. */
constexpr Duration kAdmitAboveLag = std::chrono::milliseconds(200);
/** The newest arrival has the weight 1 / kMeanWindow in the moving average. */
constexpr int kMeanWindow = 64;
/** Share of its slack that a request may spend waiting. */
constexpr double kUsableSlack = 0.8;

const std::vector<WorkerInfo>&
AnnouncedWorkers(const AgentRecord& aAgent)
{
  return aAgent.m_announced.m_workers;
}

const std::vector<WorkerInfo>&
LastWorkers(const AgentRecord& aAgent)
{
  return aAgent.m_lastWorkers;
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

void
AdmissionController::OnRequest(EntryEventContext& aContext,
                               SubmitRequest aRequest)
{
  std::optional<Refusal> refusal =
    CheckLimits(aRequest.m_service, aRequest.m_team, 1);
  if (refusal) {
    m_answers.Refuse(aContext,
                     aRequest.m_caller,
                     refusal->m_kind,
                     refusal->m_detail,
                     refusal->m_retryAfter,
                     aRequest.m_key ? aRequest.m_key->m_key : "");
    return;
  }
  const ServiceConfig& config =
    m_board.m_config.m_services.find(aRequest.m_service)->second;
  const Duration deadline =
    aRequest.m_deadline.value_or(config.m_defaultDeadline);
  const Duration declared =
    aRequest.m_declaredRun.value_or(config.m_expectedRun);
  ServiceState& service = m_board.Service(aRequest.m_service);
  const Duration expected = service.m_runTimes.Estimate(declared);
  refusal = CheckRequestLoad(
    aContext, aRequest.m_service, aRequest.m_team, expected, deadline);
  service.m_arrivals.Add(aContext.m_now, expected);
  service.m_meanExpectedRun +=
    service.m_meanExpectedRun > Duration::zero()
      ? (expected - service.m_meanExpectedRun) / kMeanWindow
      : expected;
  if (refusal) {
    m_answers.Refuse(aContext,
                     aRequest.m_caller,
                     refusal->m_kind,
                     refusal->m_detail,
                     refusal->m_retryAfter,
                     aRequest.m_key ? aRequest.m_key->m_key : "");
    return;
  }
  WorkItem item;
  item.m_declaredRun = declared;
  item.m_expectedRun = expected;
  item.m_payload = std::move(aRequest.m_payload);
  Submission submission;
  submission.m_caller = aRequest.m_caller;
  submission.m_kind = WorkKind::Request;
  submission.m_service = std::move(aRequest.m_service);
  submission.m_team = std::move(aRequest.m_team);
  submission.m_repeatable = aRequest.m_repeatable;
  submission.m_key = std::move(aRequest.m_key);
  submission.m_deadline = aContext.m_now + deadline;
  submission.m_items.push_back(std::move(item));
  Submission& open = Admit(aContext, std::move(submission));
  if (!m_claims.StartClaim(aContext, open)) {
    m_dispatch.Enqueue(aContext, { open.m_id, 0 });
    m_dispatch.DispatchRequests(aContext, open.m_service);
  }
}

void
AdmissionController::OnJob(EntryEventContext& aContext, SubmitJob aJob)
{
  if (!aJob.m_name.empty() && JoinExistingJob(aContext, aJob)) {
    return;
  }
  const QueueConfig* queue = nullptr;
  if (!aJob.m_queue.empty()) {
    const auto found = m_board.m_config.m_queues.find(aJob.m_queue);
    if (found == m_board.m_config.m_queues.end()) {
      RefuseJob(aContext,
                aJob.m_caller,
                aJob.m_name,
                { ErrorKind::UnknownService,
                  "no queue is called " + aJob.m_queue,
                  {} });
      return;
    }
    queue = &found->second;
    aJob.m_service = queue->m_service;
  }
  std::optional<Refusal> refusal =
    CheckLimits(aJob.m_service, aJob.m_team, aJob.m_tasks.size());
  if (!refusal) {
    refusal = CheckWorkersCanRun(aJob);
  }
  if (refusal) {
    RefuseJob(aContext, aJob.m_caller, aJob.m_name, *refusal);
    return;
  }
  const CallerToken caller = aJob.m_caller;
  const bool detached = aJob.m_detached;
  Submission submission = MakeJob(aContext, std::move(aJob), queue);
  if (submission.m_deadline <= aContext.m_now) {
    RefuseJob(aContext,
              caller,
              submission.m_name,
              { ErrorKind::DeadlineUnreachable,
                "the job may have waited in vain while the entry stood still",
                m_answers.RetryAfter(Duration::zero()) });
    return;
  }
  if (queue != nullptr) {
    m_board.m_queues[submission.m_queue].m_lastArrivalAt = aContext.m_now;
    m_board.m_crashes.Evict(aContext.m_now);
    refusal = CheckLostRuns(submission);
  }
  if (refusal) {
    ++m_board.m_counters.m_givenUp;
    RefuseJob(aContext, caller, submission.m_name, *refusal);
    return;
  }
  if (queue != nullptr) {
    refusal = CheckJobLoad(aContext, submission);
    UpdateMeanCoreTime(m_board, submission);
    if (refusal) {
      RefuseJob(aContext, caller, submission.m_name, *refusal);
      return;
    }
  }
  Submission& open = Admit(aContext, std::move(submission));
  if (detached) {
    aContext.m_commands.emplace_back(SendSubmissionId{ caller, open.m_id });
  }
  m_dispatch.EnqueueJob(aContext, open);
  m_dispatch.DispatchTasks(aContext);
}

void
AdmissionController::RefuseJob(EntryEventContext& aContext,
                               CallerToken aCaller,
                               const std::string& aName,
                               const Refusal& aRefusal)
{
  m_answers.Refuse(aContext,
                   aCaller,
                   aRefusal.m_kind,
                   aRefusal.m_detail,
                   aRefusal.m_retryAfter,
                   aName);
}

bool
AdmissionController::JoinExistingJob(EntryEventContext& aContext,
                                     const SubmitJob& aJob)
{
  const auto named = m_board.m_byName.find(aJob.m_name);
  if (named == m_board.m_byName.end()) {
    return false;
  }
  if (Submission* open = m_board.Find(named->second)) {
    open->m_joinedCallers.push_back(aJob.m_caller);
    m_board.m_callers[aJob.m_caller] = open->m_id;
    return true;
  }
  const auto finished = m_board.m_finished.find(named->second);
  if (finished == m_board.m_finished.end()) {
    return false;
  }
  aContext.m_commands.emplace_back(
    AnswerCaller{ aJob.m_caller, *finished->second.m_status.m_answer });
  return true;
}

Submission
AdmissionController::MakeJob(const EntryEventContext& aContext,
                             SubmitJob aJob,
                             const QueueConfig* aQueue)
{
  const ServiceConfig& config =
    m_board.m_config.m_services.find(aJob.m_service)->second;
  Submission submission;
  submission.m_caller = aJob.m_detached ? CallerToken{} : aJob.m_caller;
  submission.m_kind = WorkKind::Task;
  submission.m_service = std::move(aJob.m_service);
  submission.m_team = std::move(aJob.m_team);
  submission.m_queue = std::move(aJob.m_queue);
  submission.m_name = std::move(aJob.m_name);
  Duration deadline = aJob.m_deadline.value_or(config.m_defaultDeadline);
  if (aQueue != nullptr) {
    deadline = aJob.m_deadline.value_or(aQueue->m_timeout);
    submission.m_priority = aQueue->m_priority;
    submission.m_maxAttempts = aQueue->m_maxAttempts;
  }
  // The caller may have sent the job when the entry stood still.
  submission.m_deadline =
    aContext.m_now + deadline - m_board.UnreadFor(aContext.m_now);
  const RunTimeModel& model = m_board.RunTimesOf(submission);
  const double meanFactor =
    m_board.m_policy.m_learnTaskSpeed ? model.MeanFactor() : 1;
  for (TaskSpec& task : aJob.m_tasks) {
    WorkItem item;
    item.m_need = task.m_need;
    item.m_declaredRun = task.m_declaredRun.value_or(config.m_expectedRun);
    item.m_expectedRun = model.Estimate(item.m_declaredRun);
    item.m_meanRun = Scaled(item.m_expectedRun, meanFactor);
    item.m_payload = std::move(task.m_payload);
    item.m_name = std::move(task.m_name);
    item.m_requiredLabel = std::move(task.m_requiredLabel);
    item.m_preferredLabel = std::move(task.m_preferredLabel);
    item.m_step = task.m_step;
    submission.m_items.push_back(std::move(item));
  }
  SetSteps(submission, aJob.m_steps);
  if (aQueue != nullptr) {
    const Duration scaledRun(static_cast<Duration::rep>(
      aQueue->m_slackFactor *
      static_cast<double>(LongestChainOf(submission).count())));
    submission.m_due =
      std::min(aContext.m_now + scaledRun + aQueue->m_targetDuration,
               submission.m_deadline);
  }
  return submission;
}

std::optional<AdmissionController::Refusal>
AdmissionController::CheckLostRuns(const Submission& aJob) const
{
  for (const WorkItem& item : aJob.m_items) {
    if (MustGiveUp(m_board, aJob, item)) {
      return Refusal{ KindOfGivenUp(m_board, aJob, item),
                      WhyGivenUp(m_board, aJob, item),
                      {} };
    }
  }
  return std::nullopt;
}

std::optional<AdmissionController::Refusal>
AdmissionController::CheckJobLoad(const EntryEventContext& aContext,
                                  const Submission& aJob)
{
  if (IsIsolated(m_board, aJob) && m_board.m_isolatedPool.m_parallelism <= 0) {
    return Refusal{ ErrorKind::NoEndpoint,
                    "the queue is isolated because its tasks crash workers, "
                    "and all workers for it are down",
                    {} };
  }
  const JobLoad load = LoadAhead(m_board, aContext.m_now, aJob);
  if (load.m_others && load.m_others->m_age) {
    m_board.m_counters.m_othersDemandAgeMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        *load.m_others->m_age)
        .count());
  }
  if (load.m_wait <= load.m_maxWait) {
    return std::nullopt;
  }
  // Without a usable worker the wait is not known.
  const Duration wait = load.m_cores > 0 ? load.m_wait : Duration::zero();
  return Refusal{ ErrorKind::DeadlineUnreachable,
                  DescribeLoad(load),
                  m_answers.RetryAfter(wait) };
}

std::optional<AdmissionController::Refusal>
AdmissionController::CheckLimits(const std::string& aService,
                                 const std::string& aTeam,
                                 std::size_t aItems)
{
  if (m_board.m_draining) {
    return Refusal{ ErrorKind::Draining, "this entry is shutting down", {} };
  }
  const auto config = m_board.m_config.m_services.find(aService);
  if (config == m_board.m_config.m_services.end()) {
    return Refusal{ ErrorKind::UnknownService,
                    "no service is called " + aService,
                    {} };
  }
  if (!config->second.m_enabled) {
    return Refusal{ ErrorKind::NoEndpoint, "the service is disabled", {} };
  }
  const ServiceState& service = m_board.Service(aService);
  if (service.m_open + aItems > config->second.m_maxOpen) {
    return Refusal{
      ErrorKind::Overloaded,
      "too much of the service is open at this entry",
      m_answers.RetryAfter(
        Scaled(service.m_requestPool.m_queue.Work(),
               1 / std::max(service.m_requestPool.m_parallelism, 1.0)))
    };
  }
  const auto team = m_board.m_config.m_teams.find(aTeam);
  if (team != m_board.m_config.m_teams.end() && team->second.m_maxOpen > 0 &&
      m_board.m_teams[aTeam].m_open + aItems > TeamLimit(team->second)) {
    return Refusal{ ErrorKind::QuotaExceeded,
                    "the team has too much open",
                    {} };
  }
  return std::nullopt;
}

std::uint32_t
AdmissionController::TeamLimit(const TeamConfig& aTeam) const
{
  // Entries with a lower rank by process id get the remainder of the division,
  // so that the shares add up to the quota exactly while all entries know the
  // same peers.
  const std::uint32_t entries = m_board.EntryCount();
  const std::uint32_t rank = static_cast<std::uint32_t>(std::count_if(
    m_board.m_peers.begin(),
    m_board.m_peers.end(),
    [this](const ProcessId& aPeer) { return aPeer < m_board.m_self; }));
  return aTeam.m_maxOpen / entries + (rank < aTeam.m_maxOpen % entries ? 1 : 0);
}

std::optional<AdmissionController::Refusal>
AdmissionController::CheckRequestLoad(EntryEventContext& aContext,
                                      const std::string& aService,
                                      const std::string& aTeam,
                                      Duration aExpectedRun,
                                      Duration aDeadline)
{
  const ServiceState& service = m_board.Service(aService);
  if (service.m_agents.empty() || service.m_requestPool.m_parallelism < 1) {
    return Refusal{ ErrorKind::NoEndpoint,
                    "no endpoint of the service is known",
                    {} };
  }
  if (!m_board.m_config.m_services.find(aService)->second.m_admission) {
    return std::nullopt;
  }
  const double ownSlots =
    service.m_requestPool.m_parallelism / m_board.EntryCount();
  const Duration ahead = Scaled(
    service.m_requestPool.m_queue.WorkNoLongerThan(aExpectedRun), 1 / ownSlots);
  const Duration slack = std::max(aDeadline - aExpectedRun, Duration::zero());
  const Duration backlog =
    Scaled(service.m_requestPool.m_queue.Work(), 1 / ownSlots);
  // Compares expected run times, since declared run times may be far from
  // actual ones.
  const Duration mean = service.m_meanExpectedRun > Duration::zero()
                          ? service.m_meanExpectedRun
                          : aExpectedRun;
  const double length = static_cast<double>(aExpectedRun.count()) /
                        static_cast<double>(mean.count());
  const double maxBacklogShare = kMaxBacklogShare / std::max(length, 1.0);
  // While shorter requests alone arrive faster than they can be served, this
  // request would wait until the burst is over and then be refused late.
  const bool saturated =
    backlog > Scaled(slack, maxBacklogShare) &&
    service.m_arrivals.BusySlots(aContext.m_now, aExpectedRun) > ownSlots;
  // The request is ordered before the backlog of the teams that cause the
  // burst, so their load does not apply.
  const bool underServed = service.m_requestPool.m_fairShares.Lag(
                             aContext.m_now, aTeam) > kAdmitAboveLag;
  if (!underServed && (saturated || ahead > Scaled(slack, kUsableSlack))) {
    return Refusal{ ErrorKind::DeadlineUnreachable,
                    "too much work is ahead of it",
                    m_answers.RetryAfter(backlog) };
  }
  return std::nullopt;
}

std::optional<AdmissionController::Refusal>
AdmissionController::CheckWorkersCanRun(const SubmitJob& aJob) const
{
  const bool anyWorker = std::any_of(
    m_board.m_agents.begin(), m_board.m_agents.end(), [](const auto& aPair) {
      return !aPair.second.m_announced.m_workers.empty();
    });
  if (!anyWorker) {
    return Refusal{ ErrorKind::NoEndpoint, "no worker is known", {} };
  }
  for (std::size_t i = 0; i < aJob.m_tasks.size(); ++i) {
    if (AnyWorkerCanRun(aJob, aJob.m_tasks[i], &AnnouncedWorkers)) {
      continue;
    }
    if (AnyWorkerCanRun(aJob, aJob.m_tasks[i], &LastWorkers)) {
      return Refusal{ ErrorKind::NoEndpoint,
                      "the workers that could hold task " + std::to_string(i) +
                        " have less capacity now",
                      {} };
    }
    return Refusal{ ErrorKind::Unsatisfiable,
                    "no worker could ever hold task " + std::to_string(i),
                    {} };
  }
  return std::nullopt;
}

bool
AdmissionController::AnyWorkerCanRun(const SubmitJob& aJob,
                                     const TaskSpec& aTask,
                                     WorkersOf aWorkersOf) const
{
  return std::any_of(
    m_board.m_agents.begin(), m_board.m_agents.end(), [&](const auto& aPair) {
      const std::vector<WorkerInfo>& workers = aWorkersOf(aPair.second);
      return std::any_of(
        workers.begin(), workers.end(), [&](const WorkerInfo& aWorker) {
          return CanRun(
            aWorker, aJob.m_service, aTask.m_requiredLabel, aTask.m_need);
        });
    });
}

Submission&
AdmissionController::Admit(EntryEventContext& aContext, Submission aSubmission)
{
  aSubmission.m_id = { m_board.NextId() };
  aSubmission.m_admittedAt = aContext.m_now;
  const std::uint32_t items =
    static_cast<std::uint32_t>(aSubmission.m_items.size());
  m_board.Service(aSubmission.m_service).m_open += items;
  m_board.m_teams[aSubmission.m_team].m_open += items;
  ++m_board.m_counters.m_admitted;
  ++m_board.m_counters.m_open;
  if (!aSubmission.m_name.empty()) {
    m_board.m_byName[aSubmission.m_name] = aSubmission.m_id;
  }
  if (aSubmission.m_caller.m_value != 0) {
    m_board.m_callers[aSubmission.m_caller] = aSubmission.m_id;
  }
  m_board.m_timers.Add(aSubmission.m_deadline,
                       DeadlineTimer{ aSubmission.m_id });
  EventDetail detail;
  detail.Add("service", aSubmission.m_service)
    .Add("queue", aSubmission.m_queue)
    .Add("items", items)
    .Add("due_in_ms", aSubmission.m_due - aContext.m_now)
    .Add("deadline_in_ms", aSubmission.m_deadline - aContext.m_now)
    .Add("config", m_board.m_config.m_version.m_value);
  if (m_board.m_callersReadUntil) {
    detail.Add("unread_ms", aContext.m_now - *m_board.m_callersReadUntil);
  }
  aContext.Record(
    EventCode::SubmissionAdmitted, aSubmission, std::move(detail));
  const SubmissionId id = aSubmission.m_id;
  return m_board.m_submissions.emplace(id, std::move(aSubmission))
    .first->second;
}

} // namespace mulberrysail::core
