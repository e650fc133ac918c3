#include "core/internal/entry/answercontroller.h"

#include "core/internal/entry/lostruns.h"
#include "core/internal/entry/revocationcontroller.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Shortest retry delay before jitter. The jitter is at most that delay plus
 * this value. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);

/** Retention ends at multiples of this, so that statuses that expire at about
 * the same time share one wake-up. */
constexpr Duration kRetentionResolution = std::chrono::milliseconds(100);

Instant
NextRetentionCheck(Instant aEnd)
{
  const Duration sinceCheck = aEnd.time_since_epoch() % kRetentionResolution;
  return sinceCheck == Duration::zero()
           ? aEnd
           : aEnd - sinceCheck + kRetentionResolution;
}

/** @return the execution of the error kind, or MayHaveRun if the kind says
 * NotRun but an item may have run. */
Execution
CombinedExecution(Execution aOfItems, Execution aOfKind)
{
  return aOfItems == Execution::NotRun && aOfKind == Execution::NotRun
           ? Execution::NotRun
           : (aOfKind == Execution::Ran ? Execution::Ran
                                        : Execution::MayHaveRun);
}

/** @return how many items wait, and the agents at which items are open. */
EventDetail
DescribeOpenItems(const Submission& aSubmission)
{
  std::size_t waiting = 0;
  std::set<std::string> agents;
  for (const WorkItem& item : aSubmission.m_items) {
    if (item.m_state == WorkState::Offered) {
      agents.insert(item.m_agent.m_name);
    } else if (item.m_state != WorkState::Done) {
      ++waiting;
    }
  }
  std::string names;
  for (const std::string& name : agents) {
    names += (names.empty() ? "" : ",") + name;
  }
  return EventDetail().Add("waiting", waiting).Add("open_at", names);
}

EventDetail
DescribeAnswer(const EntryEventContext& aContext,
               const Submission& aSubmission,
               const Answer& aAnswer)
{
  EventDetail detail;
  detail.Add("cause", DescribeError(aAnswer.m_kind).m_name)
    .Add("execution", ExecutionName(aAnswer.m_execution))
    .Add("age_ms", aContext.m_now - aSubmission.m_admittedAt)
    .Add("left_ms", aSubmission.m_deadline - aContext.m_now)
    .Add("done", aSubmission.m_done)
    .Add("of", aSubmission.m_items.size());
  if (aAnswer.m_kind != ErrorKind::None) {
    detail.Add(DescribeOpenItems(aSubmission)).Add("why", aAnswer.m_detail);
  }
  return detail;
}

/** @return the error kind that reports the same failure for work that may have
 * run. */
ErrorKind
UncertainKind(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::Cancelled:
      return ErrorKind::CancelledRunning;
    case ErrorKind::DeadlinePassedQueued:
      return ErrorKind::DeadlinePassedRunning;
    case ErrorKind::ConnectFailed:
    case ErrorKind::NoEndpoint:
    case ErrorKind::AttemptExpired:
      return ErrorKind::RunLost;
    default:
      return aKind;
  }
}

} // namespace

Duration
AnswerController::RetryAfter(Duration aBacklog)
{
  const Duration least = std::max(aBacklog, kMinRetryAfter);
  boost::random::uniform_int_distribution<Duration::rep> spread(
    0, least.count() + kMinRetryAfter.count());
  return least + Duration(spread(m_board.m_random));
}

void
AnswerController::Refuse(EntryEventContext& aContext,
                         CallerToken aCaller,
                         ErrorKind aKind,
                         std::string aDetail,
                         std::optional<Duration> aRetryAfter,
                         const std::string& aName)
{
  Answer answer;
  answer.m_kind = aKind;
  answer.m_execution = DescribeError(aKind).m_execution;
  answer.m_detail = std::move(aDetail);
  if (DescribeError(aKind).m_retry == Retry::Later) {
    answer.m_retryAfter =
      aRetryAfter ? *aRetryAfter : RetryAfter(Duration::zero());
  }
  ++m_board.m_counters.m_refused;
  EventDetail detail;
  detail.Add("cause", DescribeError(aKind).m_name)
    .Add("config", m_board.m_config.m_version.m_value);
  if (answer.m_retryAfter) {
    detail.Add("retry_after_ms", *answer.m_retryAfter);
  }
  detail.Add("why", answer.m_detail);
  aContext.Record(
    EventCode::SubmissionRefused, aCaller.m_value, std::move(detail), aName);
  aContext.m_commands.emplace_back(AnswerCaller{ aCaller, std::move(answer) });
}

Execution
AnswerController::KnownExecution(const Submission& aSubmission) const
{
  const bool mayHaveRun = std::any_of(
    aSubmission.m_items.begin(), aSubmission.m_items.end(), MayHaveRun);
  return mayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
}

void
AnswerController::Fail(EntryEventContext& aContext,
                       Submission& aSubmission,
                       ErrorKind aKind,
                       std::string aDetail)
{
  Answer answer;
  const Execution known = KnownExecution(aSubmission);
  answer.m_kind = known == Execution::NotRun ? aKind : UncertainKind(aKind);
  answer.m_execution =
    CombinedExecution(known, DescribeError(answer.m_kind).m_execution);
  answer.m_detail = std::move(aDetail);
  if (DescribeError(answer.m_kind).m_retry == Retry::Later) {
    answer.m_retryAfter = RetryAfter(Duration::zero());
  }
  ++m_board.m_counters.m_failed;
  Withdraw(aContext, aSubmission);
  FinishSubmission(aContext, aSubmission, std::move(answer));
}

void
AnswerController::GiveUp(EntryEventContext& aContext,
                         Submission& aSubmission,
                         WorkItem& aItem)
{
  // The item is in no wait queue. Withdraw must neither erase it there nor
  // revoke an attempt.
  aItem.m_state = WorkState::Done;
  ++m_board.m_counters.m_givenUp;
  const std::string why = WhyGivenUp(m_board, aSubmission, aItem);
  aContext.Record(EventCode::WorkGivenUp,
                  aSubmission,
                  aItem,
                  EventDetail()
                    .Add("queue", aSubmission.m_queue)
                    .Add("lost_runs", aItem.m_lostRuns)
                    .Add("why", why));
  Fail(aContext, aSubmission, KindOfGivenUp(m_board, aSubmission, aItem), why);
}

void
AnswerController::Complete(EntryEventContext& aContext, Submission& aSubmission)
{
  Answer answer;
  for (WorkItem& item : aSubmission.m_items) {
    answer.m_outputs.push_back(std::move(item.m_output));
    answer.m_ranFor = std::max(answer.m_ranFor, item.m_ranFor);
  }
  ++m_board.m_counters.m_completed;
  FinishSubmission(aContext, aSubmission, std::move(answer));
}

void
AnswerController::Cancel(EntryEventContext& aContext, Submission& aSubmission)
{
  aContext.Record(
    EventCode::SubmissionCancelled,
    aSubmission,
    EventDetail().Add("age_ms", aContext.m_now - aSubmission.m_admittedAt));
  Fail(aContext, aSubmission, ErrorKind::Cancelled, "cancelled by its caller");
}

void
AnswerController::OnCallerDisconnected(EntryEventContext& aContext,
                                       Submission& aSubmission,
                                       CallerToken aCaller)
{
  m_board.m_callers.erase(aCaller);
  std::erase(aSubmission.m_joinedCallers, aCaller);
  if (aSubmission.m_caller == aCaller && !aSubmission.m_joinedCallers.empty()) {
    aSubmission.m_caller = aSubmission.m_joinedCallers.back();
    aSubmission.m_joinedCallers.pop_back();
    return;
  }
  if (aSubmission.m_caller == aCaller) {
    Cancel(aContext, aSubmission);
  }
}

void
AnswerController::OnDeadline(EntryEventContext& aContext,
                             SubmissionId aSubmission)
{
  Submission* submission = m_board.Find(aSubmission);
  if (submission != nullptr) {
    Fail(aContext,
         *submission,
         ErrorKind::DeadlinePassedQueued,
         "the deadline has passed");
  }
}

void
AnswerController::OnRetentionExpired(SubmissionId aSubmission)
{
  const auto finished = m_board.m_finished.find(aSubmission);
  if (finished == m_board.m_finished.end()) {
    return;
  }
  const auto named = m_board.m_byName.find(finished->second.m_name);
  if (named != m_board.m_byName.end() && named->second == aSubmission) {
    m_board.m_byName.erase(named);
  }
  m_board.m_finished.erase(finished);
}

void
AnswerController::Withdraw(EntryEventContext& aContext, Submission& aSubmission)
{
  for (std::uint32_t i = 0; i < aSubmission.m_items.size(); ++i) {
    const WorkItem& item = aSubmission.m_items[i];
    if (item.m_state == WorkState::Waiting) {
      m_board.QueueOf(aSubmission, item)
        .Erase({ *item.m_order, { aSubmission.m_id, i } },
               WaitingWorkOf(aSubmission, item));
    }
  }
  RevocationController(m_board).Revoke(aContext, aSubmission);
}

void
AnswerController::FinishSubmission(EntryEventContext& aContext,
                                   Submission& aSubmission,
                                   Answer aAnswer)
{
  aAnswer.m_submission = aSubmission.m_id;
  const std::uint32_t items =
    static_cast<std::uint32_t>(aSubmission.m_items.size());
  aContext.Record(aAnswer.m_kind == ErrorKind::None
                    ? EventCode::SubmissionAnswered
                    : EventCode::SubmissionFailed,
                  aSubmission,
                  DescribeAnswer(aContext, aSubmission, aAnswer));
  ServiceState& service = m_board.Service(aSubmission.m_service);
  service.m_open -= std::min(items, service.m_open);
  TeamState& team = m_board.m_teams[aSubmission.m_team];
  team.m_open -= std::min(items, team.m_open);
  m_board.m_counters.m_open -= 1;
  m_board.m_callers.erase(aSubmission.m_caller);

  SubmissionStatus status;
  status.m_submission = aSubmission.m_id;
  status.m_service = aSubmission.m_service;
  status.m_team = aSubmission.m_team;
  status.m_done = aSubmission.m_done;
  std::vector<CallerToken> callers = std::move(aSubmission.m_joinedCallers);
  callers.push_back(aSubmission.m_caller);
  const std::string name = aSubmission.m_name;
  // A failed job may be submitted again under the same name.
  if (!name.empty() && aAnswer.m_kind != ErrorKind::None) {
    m_board.m_byName.erase(name);
  }
  const bool job = aSubmission.m_kind == WorkKind::Task;
  const SubmissionId id = aSubmission.m_id;
  m_board.m_submissions.erase(id);
  // Only the status of a job can be read later; the caller of a request waits
  // on its connection.
  if (job) {
    status.m_answer = aAnswer;
    m_board.m_finished[id] = { std::move(status), name };
    m_board.m_timers.Add(
      NextRetentionCheck(aContext.m_now + m_board.m_policy.m_statusRetention),
      RetentionTimer{ id });
  }
  for (const CallerToken caller : callers) {
    if (caller.m_value != 0) {
      m_board.m_callers.erase(caller);
      aContext.m_commands.emplace_back(AnswerCaller{ caller, aAnswer });
    }
  }
}

} // namespace mulberrysail::core
