#include "core/internal/entry/outcomecontroller.h"

#include "core/internal/entry/lostruns.h"
#include "core/internal/entry/runtimelearner.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Retries after which an item is abandoned. Refusals of a configured queue's
 * task by a full agent count, but do not abandon the task. */
constexpr std::uint32_t kMaxRetries = 16;
/** Interval at which an agent is queried again for the fate of an attempt. */
constexpr Duration kReconcileInterval = std::chrono::seconds(2);
/** Delay of the next dispatch if the retry budget is exhausted. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(20);

/** @return whether @p aKind means that the agent accepts no more work. */
bool
StopsAcceptingWork(ErrorKind aKind)
{
  return aKind == ErrorKind::Draining || aKind == ErrorKind::NoEndpoint ||
         aKind == ErrorKind::StaleIncarnation;
}

/** @return whether an agent refused an attempt because its zone is drained, and
 * not because it is shutting down, which it announces first. */
bool
IsRefusalForDrain(const AgentRecord& aAgent,
                  const LoadReport& aLoad,
                  ErrorKind aKind)
{
  return aKind == ErrorKind::Draining && aLoad.m_drainsDigest != 0 &&
         !aAgent.m_announced.m_leaving;
}

/** @return the error kind of a submission whose attempt failed. A job that has
 * attempts left, but not enough time for one, has missed its deadline. */
ErrorKind
SubmissionFailureKind(const Submission& aSubmission, const WorkItem& aItem)
{
  if (aSubmission.m_kind == WorkKind::Request) {
    return ErrorKind::TaskFailed;
  }
  return aItem.m_failures < aSubmission.m_maxAttempts
           ? ErrorKind::DeadlinePassedRunning
           : ErrorKind::JobFailed;
}

} // namespace

void
OutcomeController::OnReports(EntryEventContext& aContext,
                             const ProcessId& aFrom,
                             ReportBatch aBatch)
{
  const auto found = m_board.m_agents.find(aFrom);
  if (found == m_board.m_agents.end()) {
    m_board.m_counters.m_repliesDropped += aBatch.m_reports.size();
    return;
  }
  AgentRecord& agent = found->second;
  DispatchController::ApplyLoad(aContext, agent, aBatch.m_load);
  for (AttemptReport& report : aBatch.m_reports) {
    OnReport(aContext, agent, aBatch.m_load, std::move(report));
  }
  if (!m_board.m_probes.empty()) {
    m_dispatch.OnProbeReply(aContext, aFrom);
  }
  if (agent.m_announced.m_endpoint) {
    m_dispatch.DispatchRequests(aContext,
                                agent.m_announced.m_endpoint->m_service);
  }
  m_dispatch.DispatchTasks(aContext);
}

WorkItem*
OutcomeController::CloseAttempt(AgentRecord& aAgent,
                                AttemptId aAttempt,
                                WorkRef& aWork)
{
  const auto attempt = m_board.m_attempts.find(aAttempt);
  if (attempt == m_board.m_attempts.end()) {
    return nullptr;
  }
  aWork = attempt->second;
  WorkItem* item = m_board.Find(aWork);
  if (item == nullptr || item->m_state != WorkState::Offered ||
      item->m_attempt != aAttempt || item->m_agent != aAgent.m_id) {
    return nullptr;
  }
  m_board.m_attempts.erase(attempt);
  aAgent.m_openAttempts.erase(aAttempt);
  return item;
}

void
OutcomeController::OnReport(EntryEventContext& aContext,
                            AgentRecord& aAgent,
                            const LoadReport& aLoad,
                            AttemptReport aReport)
{
  if (aReport.m_fate == AttemptFate::Queued ||
      aReport.m_fate == AttemptFate::Running) {
    return;
  }
  WorkRef work;
  if (m_board.m_revocations.Remove(aAgent.m_id, aReport.m_attempt)) {
    return;
  }
  WorkItem* item = CloseAttempt(aAgent, aReport.m_attempt, work);
  if (item == nullptr) {
    ++m_board.m_counters.m_repliesDropped;
    aContext.Record(EventCode::AttemptReplyDropped,
                    aReport.m_attempt.m_value,
                    DescribeProcess("agent", aAgent.m_id)
                      .Add("fate", FateName(aReport.m_fate)));
    return;
  }
  switch (aReport.m_fate) {
    case AttemptFate::Refused:
    case AttemptFate::Revoked:
      ++m_board.m_counters.m_offersRefused;
      if (IsRefusalForDrain(aAgent, aLoad, aReport.m_kind)) {
        aAgent.m_refusedDrainsDigest = aLoad.m_drainsDigest;
        item->m_wasRefusedForDrain = true;
        ReturnItem(aContext, work);
        return;
      }
      if (StopsAcceptingWork(aReport.m_kind) &&
          !MayBeLateRefusalForDrain(aAgent, aReport.m_kind)) {
        aAgent.m_reachable = false;
      }
      item->m_lastAttemptedAgent = aAgent.m_id;
      item->m_lastAttemptEndedAt = aContext.m_now;
      RetryItem(aContext, work, aReport.m_kind);
      return;
    case AttemptFate::Completed:
      OnCompleted(aContext, aAgent, work, aReport);
      return;
    case AttemptFate::Interrupted:
      OnInterrupted(aContext, aAgent, work);
      return;
    case AttemptFate::Failed:
      if (RecordFailureAndCheckRetry(aContext, work)) {
        item->m_lastAttemptedAgent = aAgent.m_id;
        item->m_lastAttemptEndedAt = aContext.m_now;
        RetryItem(aContext, work, ErrorKind::TaskFailed);
        return;
      }
      item->m_state = WorkState::Done;
      m_answers.Fail(
        aContext,
        *m_board.Find(work.m_submission),
        SubmissionFailureKind(*m_board.Find(work.m_submission), *item),
        "task " + std::to_string(work.m_index) +
          " failed: " + aReport.m_output);
      return;
    case AttemptFate::Lost:
      OnOutcomeUnknown(aContext, aAgent, work, ErrorKind::RunLost);
      return;
    case AttemptFate::Queued:
    case AttemptFate::Running:
      return;
  }
}

void
OutcomeController::OnCompleted(EntryEventContext& aContext,
                               AgentRecord& aAgent,
                               WorkRef aWork,
                               AttemptReport& aReport)
{
  Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = submission.m_items.at(aWork.m_index);
  item.m_state = WorkState::Done;
  item.m_output = std::move(aReport.m_output);
  item.m_ranFor = aReport.m_ranFor;
  ++submission.m_done;
  if (submission.m_kind == WorkKind::Task) {
    --submission.m_steps.at(item.m_step).m_unfinishedTasks;
    m_board.m_isolation.AddCompletedRun(
      aContext.m_now, submission.m_queue, item.m_ranFor, m_board.EntryCount());
    m_dispatch.EnqueueUnblocked(aContext, submission, item.m_step);
  }

  if (!aReport.m_warmingUp) {
    RunTimeLearner(m_board).Learn(aContext, aAgent, submission, item);
  }
  if (submission.m_done == submission.m_items.size()) {
    m_answers.Complete(aContext, submission);
  }
}

bool
OutcomeController::RecordFailureAndCheckRetry(EntryEventContext& aContext,
                                              WorkRef aWork)
{
  const Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = *m_board.Find(aWork);
  item.m_mayHaveRun = true;
  ++item.m_failures;
  return item.m_failures < submission.m_maxAttempts &&
         aContext.m_now + item.m_expectedRun + item.m_successorRun <
           submission.m_deadline;
}

void
OutcomeController::OnInterrupted(EntryEventContext& aContext,
                                 const AgentRecord& aAgent,
                                 WorkRef aWork)
{
  Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = *m_board.Find(aWork);
  RecordLostRun(aContext, submission, item, aAgent);
  if (MustGiveUp(m_board, submission, item)) {
    m_answers.GiveUp(aContext, submission, item);
    return;
  }
  const bool retry = submission.m_maxAttempts > 1 &&
                     aContext.m_now + item.m_expectedRun + item.m_successorRun <
                       submission.m_deadline;
  if (retry) {
    item.m_lastAttemptedAgent = aAgent.m_id;
    item.m_lastAttemptEndedAt = aContext.m_now;
    RetryItem(aContext, aWork, ErrorKind::RunLost);
    return;
  }
  item.m_state = WorkState::Done;
  m_answers.Fail(aContext,
                 submission,
                 ErrorKind::RunLost,
                 "task " + std::to_string(aWork.m_index) + " was interrupted");
}

void
OutcomeController::RecordLostRun(const EntryEventContext& aContext,
                                 const Submission& aSubmission,
                                 WorkItem& aItem,
                                 const AgentRecord& aAgent)
{
  aItem.m_mayHaveRun = true;
  ++aItem.m_lostRuns;
  m_board.m_crashes.AddLoss(aContext.m_now,
                            NameOf(aSubmission, aItem),
                            aItem.m_attempt,
                            aAgent.m_id.m_name);
}

void
OutcomeController::OnAgentUnresponsive(EntryEventContext& aContext,
                                       AgentRecord& aAgent)
{
  const Instant runsEndAt =
    aAgent.m_leaseGrantedAt + m_board.m_policy.m_runsEndAfter;
  std::vector<AttemptId> open(aAgent.m_openAttempts.begin(),
                              aAgent.m_openAttempts.end());
  std::sort(open.begin(), open.end());
  for (const AttemptId attempt : open) {
    const auto found = m_board.m_attempts.find(attempt);
    if (found == m_board.m_attempts.end()) {
      continue;
    }
    WorkRef work = found->second;
    Submission* submission = m_board.Find(work.m_submission);
    const WorkItem* item = m_board.Find(work);
    if (submission == nullptr || item == nullptr ||
        submission->m_queue.empty()) {
      continue;
    }
    if (runsEndAt <= aContext.m_now) {
      if (CloseAttempt(aAgent, attempt, work) != nullptr) {
        OnInterrupted(aContext, aAgent, work);
      }
      continue;
    }
    const bool cannotRetry =
      submission->m_maxAttempts <= 1 ||
      runsEndAt + item->m_expectedRun + item->m_successorRun >
        submission->m_deadline;
    if (cannotRetry) {
      m_answers.Fail(aContext,
                     *submission,
                     ErrorKind::AgentLost,
                     "agent " + aAgent.m_id.m_name + " is silent");
    }
  }
}

void
OutcomeController::RecordRetry(EntryEventContext& aContext,
                               const Submission& aSubmission,
                               const WorkItem& aItem,
                               ErrorKind aKind)
{
  aContext.Record(EventCode::AttemptRetried,
                  aSubmission,
                  aItem,
                  EventDetail()
                    .Add("cause", DescribeError(aKind).m_name)
                    .Add("agent", aItem.m_agent.m_name)
                    .Add("load_age_ms", aItem.m_loadAgeAtOffer)
                    .Add("answered_in_ms", aContext.m_now - aItem.m_offeredAt)
                    .Add("refusals", aItem.m_retries)
                    .Add("failures", aItem.m_failures)
                    .Add("left_ms", aSubmission.m_deadline - aContext.m_now));
}

void
OutcomeController::RetryItem(EntryEventContext& aContext,
                             WorkRef aWork,
                             ErrorKind aKind)
{
  Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = submission.m_items.at(aWork.m_index);
  item.m_state = WorkState::Waiting;
  ++item.m_retries;
  ++m_board.m_counters.m_retries;
  RecordRetry(aContext, submission, item, aKind);
  if (!submission.m_queue.empty()) {
    item.m_startBy =
      DispatchController::LatestUsefulStart(aContext, submission, item);
  }
  // An agent whose agent queue is full, or that has none, refuses an offer if
  // another entry's offer arrived first. Such a refusal does not abandon a task
  // of a configured queue; its latest useful start limits the retries.
  const bool refusedAsFull =
    aKind == ErrorKind::QueueFull && !submission.m_queue.empty();
  const bool abandon = aKind == ErrorKind::Superseded ||
                       aKind == ErrorKind::Unsatisfiable ||
                       aContext.m_now >= item.m_startBy ||
                       (item.m_retries > kMaxRetries && !refusedAsFull);
  if (abandon) {
    // The item is not in its wait queue. A state other than Waiting keeps
    // Withdraw from erasing it there.
    item.m_state = WorkState::Claiming;
    const ErrorKind kind = aKind == ErrorKind::AttemptExpired || refusedAsFull
                             ? ErrorKind::DeadlinePassedQueued
                             : aKind;
    m_answers.Fail(aContext, submission, kind, "refused by the agents");
    return;
  }
  m_dispatch.Enqueue(aContext, aWork);
  if (!m_board.m_retryBudget.TryConsume()) {
    m_board.m_timers.Add(aContext.m_now + kRetryDelay, DispatchTimer{});
  }
}

void
OutcomeController::ReturnItem(EntryEventContext& aContext, WorkRef aWork)
{
  Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = submission.m_items.at(aWork.m_index);
  item.m_state = WorkState::Waiting;
  RecordRetry(aContext, submission, item, ErrorKind::Draining);
  if (!submission.m_queue.empty()) {
    item.m_startBy =
      DispatchController::LatestUsefulStart(aContext, submission, item);
  }
  if (aContext.m_now >= item.m_startBy) {
    // The item is not in its wait queue; see RetryItem.
    item.m_state = WorkState::Claiming;
    m_answers.Fail(aContext,
                   submission,
                   ErrorKind::DeadlinePassedQueued,
                   "the zone of its agent was drained too late to place it "
                   "elsewhere");
    return;
  }
  m_dispatch.Enqueue(aContext, aWork);
}

bool
OutcomeController::MayBeLateRefusalForDrain(const AgentRecord& aAgent,
                                            ErrorKind aKind) const
{
  return aKind == ErrorKind::Draining && m_board.m_hasSeenDrain &&
         !aAgent.m_announced.m_leaving;
}

void
OutcomeController::OnOutcomeUnknown(EntryEventContext& aContext,
                                    const AgentRecord& aAgent,
                                    WorkRef aWork,
                                    ErrorKind aKind)
{
  Submission& submission = *m_board.Find(aWork.m_submission);
  WorkItem& item = submission.m_items.at(aWork.m_index);
  RecordLostRun(aContext, submission, item, aAgent);
  if (submission.m_repeatable && MustGiveUp(m_board, submission, item)) {
    m_answers.GiveUp(aContext, submission, item);
    return;
  }
  const bool retry = submission.m_repeatable &&
                     submission.m_kind == WorkKind::Request &&
                     m_board.m_retryBudget.TryConsume();
  if (!retry) {
    item.m_state = WorkState::Done;
    m_answers.Fail(aContext, submission, aKind, "its outcome was lost");
    return;
  }
  RetryItem(aContext, aWork, aKind);
}

void
OutcomeController::OnOffersNotSent(EntryEventContext& aContext,
                                   const OfferBatch& aBatch)
{
  for (const core::Offer& offer : aBatch.m_offers) {
    const auto attempt = m_board.m_attempts.find(offer.m_attempt);
    if (attempt == m_board.m_attempts.end()) {
      continue;
    }
    const WorkItem* item = m_board.Find(attempt->second);
    if (item == nullptr) {
      continue;
    }
    const auto agent = m_board.m_agents.find(item->m_agent);
    WorkRef work = attempt->second;
    if (agent != m_board.m_agents.end() &&
        CloseAttempt(agent->second, offer.m_attempt, work) != nullptr) {
      RetryItem(aContext, work, ErrorKind::ConnectFailed);
    }
  }
  m_dispatch.DispatchAll(aContext);
}

void
OutcomeController::OnOverdue(EntryEventContext& aContext, AttemptId aAttempt)
{
  const auto attempt = m_board.m_attempts.find(aAttempt);
  if (attempt == m_board.m_attempts.end()) {
    return;
  }
  const WorkItem* item = m_board.Find(attempt->second);
  if (item == nullptr || item->m_attempt != aAttempt) {
    return;
  }
  aContext.Send(item->m_agent, Reconcile{ { aAttempt } });
  m_board.m_timers.Add(aContext.m_now + kReconcileInterval,
                       OverdueTimer{ aAttempt });
}

void
OutcomeController::ReconcileOpenAttempts(EntryEventContext& aContext,
                                         const AgentRecord& aAgent)
{
  if (aAgent.m_openAttempts.empty()) {
    return;
  }
  Reconcile reconcile;
  reconcile.m_attempts.assign(aAgent.m_openAttempts.begin(),
                              aAgent.m_openAttempts.end());
  std::sort(reconcile.m_attempts.begin(), reconcile.m_attempts.end());
  aContext.Send(aAgent.m_id, std::move(reconcile));
}

void
OutcomeController::OnAgentUnreachable(EntryEventContext& aContext,
                                      AgentRecord& aAgent)
{
  aAgent.m_reachable = false;
  std::vector<AttemptId> open(aAgent.m_openAttempts.begin(),
                              aAgent.m_openAttempts.end());
  std::sort(open.begin(), open.end());
  for (const AttemptId attempt : open) {
    const auto found = m_board.m_attempts.find(attempt);
    if (found == m_board.m_attempts.end()) {
      continue;
    }
    const Submission* submission = m_board.Find(found->second.m_submission);
    if (submission == nullptr || !submission->m_repeatable) {
      continue;
    }
    WorkRef work;
    if (CloseAttempt(aAgent, attempt, work) != nullptr) {
      OnOutcomeUnknown(aContext, aAgent, work, ErrorKind::AgentLost);
    }
  }
}

void
OutcomeController::OnAgentRemoved(EntryEventContext& aContext,
                                  AgentRecord& aAgent)
{
  std::vector<AttemptId> open(aAgent.m_openAttempts.begin(),
                              aAgent.m_openAttempts.end());
  std::sort(open.begin(), open.end());
  for (const AttemptId attempt : open) {
    WorkRef work;
    if (CloseAttempt(aAgent, attempt, work) != nullptr) {
      OnOutcomeUnknown(aContext, aAgent, work, ErrorKind::AgentLost);
    }
  }
}

} // namespace mulberrysail::core
