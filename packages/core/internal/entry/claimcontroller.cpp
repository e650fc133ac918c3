#include "core/internal/entry/claimcontroller.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr std::uint32_t kFirstSubmission = 1;
/** How long an agent may take to reply whether it holds a key. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1000);

} // namespace

bool
ClaimController::StartClaim(EntryEventContext& aContext,
                            Submission& aSubmission)
{
  if (!aSubmission.m_key || aSubmission.m_repeatable) {
    return false;
  }
  CallerKey& key = *aSubmission.m_key;
  if (key.m_submission == kFirstSubmission) {
    return false;
  }
  SupersedeOlderSubmissions(aContext, aSubmission);
  const FenceId fence{ m_board.NextId() };
  key.m_claim = std::hash<ProcessId>{}(m_board.m_self) ^ fence.m_value;
  key.m_claim = std::max<std::uint64_t>(key.m_claim, 1);

  Claim claim;
  claim.m_work = { aSubmission.m_id, 0 };
  claim.m_key = key;
  const QueryTargets targets =
    SelectAgentsToQuery(aContext, aSubmission.m_service);
  claim.m_pendingAgents.insert(targets.m_present.begin(),
                               targets.m_present.end());
  claim.m_uncertain = targets.m_anyDeparted;
  aSubmission.m_items.front().m_state = WorkState::Claiming;
  for (const ProcessId& agent : claim.m_pendingAgents) {
    aContext.Send(
      agent,
      FenceQuery{
        fence, aSubmission.m_service, key, m_board.m_policy.m_keyRetention });
  }
  m_board.m_claims.emplace(fence, std::move(claim));
  m_board.m_timers.Add(aContext.m_now + kReplyTimeout, ClaimTimer{ fence });
  ResolveClaim(aContext, fence);
  return true;
}

void
ClaimController::SupersedeOlderSubmissions(EntryEventContext& aContext,
                                           const Submission& aNewer)
{
  std::vector<SubmissionId> older;
  for (const auto& [id, submission] : m_board.m_submissions) {
    const bool sameKey = id != aNewer.m_id && submission.m_key &&
                         submission.m_service == aNewer.m_service &&
                         submission.m_key->m_key == aNewer.m_key->m_key;
    if (sameKey && submission.m_items.front().m_state == WorkState::Waiting &&
        submission.m_key->m_submission < aNewer.m_key->m_submission) {
      older.push_back(id);
    }
  }
  for (const SubmissionId id : older) {
    m_answers.Fail(aContext,
                   *m_board.Find(id),
                   ErrorKind::Superseded,
                   "submitted again with the same key");
  }
}

ClaimController::QueryTargets
ClaimController::SelectAgentsToQuery(EntryEventContext& aContext,
                                     const std::string& aService) const
{
  // This entry cannot determine which agents another entry knew and could reach
  // when it placed an earlier submission, so all agents of the service count.
  const Instant since = aContext.m_now - m_board.m_policy.m_keyRetention;
  QueryTargets targets;
  for (const auto& [id, agent] : m_board.m_agents) {
    if (agent.m_servedSince.contains(aService)) {
      targets.m_present.push_back(id);
    }
  }
  const bool historyTooShort = m_board.m_departuresKnownSince > since;
  targets.m_anyDeparted =
    historyTooShort ||
    std::any_of(m_board.m_departed.begin(),
                m_board.m_departed.end(),
                [&](const DepartedRecord& aRecord) {
                  return aRecord.m_agent.m_service == aService &&
                         aRecord.m_departedAt > since;
                });
  return targets;
}

void
ClaimController::OnReply(EntryEventContext& aContext,
                         const ProcessId& aFrom,
                         FenceReply aReply)
{
  const auto found = m_board.m_claims.find(aReply.m_fence);
  if (found == m_board.m_claims.end()) {
    ++m_board.m_counters.m_repliesDropped;
    return;
  }
  Claim& claim = found->second;
  Submission* submission = m_board.Find(claim.m_work.m_submission);
  if (submission == nullptr) {
    m_board.m_claims.erase(found);
    return;
  }
  switch (aReply.m_fate) {
    case AttemptFate::Refused:
    case AttemptFate::Revoked:
      if (aReply.m_kind == ErrorKind::Superseded) {
        m_board.m_claims.erase(found);
        m_answers.Fail(aContext,
                       *submission,
                       ErrorKind::Superseded,
                       "another submission with the same key was first");
        return;
      }
      claim.m_pendingAgents.erase(aFrom);
      // The agent has evicted some keys for lack of memory, possibly this one.
      claim.m_uncertain =
        claim.m_uncertain ||
        aReply.m_recordsCover < m_board.m_policy.m_keyRetention;
      break;
    case AttemptFate::Queued:
    case AttemptFate::Running:
      aContext.Record(EventCode::KeyHeld,
                      *submission,
                      EventDetail()
                        .Add("agent", aFrom.m_name)
                        .Add("fate", FateName(aReply.m_fate)));
      claim.m_isKeyHeld = true;
      return;
    case AttemptFate::Completed:
      aContext.Record(EventCode::KeyHeld,
                      *submission,
                      EventDetail()
                        .Add("agent", aFrom.m_name)
                        .Add("fate", FateName(aReply.m_fate)));
      m_board.m_claims.erase(found);
      submission->m_items.front().m_output = std::move(aReply.m_output);
      submission->m_items.front().m_state = WorkState::Done;
      submission->m_done = 1;
      m_answers.Complete(aContext, *submission);
      return;
    case AttemptFate::Failed:
    case AttemptFate::Interrupted:
    case AttemptFate::Lost:
      submission->m_items.front().m_mayHaveRun = true;
      m_board.m_claims.erase(found);
      m_answers.Fail(aContext,
                     *submission,
                     aReply.m_fate == AttemptFate::Failed
                       ? ErrorKind::TaskFailed
                       : ErrorKind::RepeatUncertain,
                     "an earlier submission with this key: " +
                       std::string(DescribeError(aReply.m_kind).m_name));
      return;
  }
  ResolveClaim(aContext, aReply.m_fence);
}

void
ClaimController::ResolveClaim(EntryEventContext& aContext, FenceId aFence)
{
  const auto found = m_board.m_claims.find(aFence);
  if (found == m_board.m_claims.end() ||
      !found->second.m_pendingAgents.empty()) {
    return;
  }
  if (found->second.m_uncertain) {
    FailAsUncertain(aContext, aFence, "an agent that may have run it has left");
    return;
  }
  const WorkRef work = found->second.m_work;
  m_board.m_claims.erase(found);
  Submission* submission = m_board.Find(work.m_submission);
  if (submission == nullptr) {
    return;
  }
  aContext.Record(
    EventCode::KeyFenced,
    *submission,
    EventDetail().Add("submission", submission->m_key->m_submission));
  const std::string service = submission->m_service;
  m_dispatch.Enqueue(aContext, work);
  m_dispatch.DispatchRequests(aContext, service);
}

void
ClaimController::FailAsUncertain(EntryEventContext& aContext,
                                 FenceId aFence,
                                 std::string aDetail)
{
  const WorkRef work = m_board.m_claims.at(aFence).m_work;
  m_board.m_claims.erase(aFence);
  Submission* submission = m_board.Find(work.m_submission);
  if (submission == nullptr) {
    return;
  }
  aContext.Record(
    EventCode::KeyUncertain, *submission, EventDetail().Add("cause", aDetail));
  submission->m_items.front().m_mayHaveRun = true;
  m_answers.Fail(
    aContext, *submission, ErrorKind::RepeatUncertain, std::move(aDetail));
}

void
ClaimController::OnReplyTimeout(EntryEventContext& aContext, FenceId aFence)
{
  const auto found = m_board.m_claims.find(aFence);
  if (found == m_board.m_claims.end() || found->second.m_isKeyHeld) {
    return;
  }
  FailAsUncertain(
    aContext, aFence, "an agent that may have run it doesn't answer");
}

void
ClaimController::FailClaimsPendingOn(EntryEventContext& aContext,
                                     const ProcessId& aAgent)
{
  std::vector<FenceId> affected;
  for (const auto& [fence, claim] : m_board.m_claims) {
    if (claim.m_pendingAgents.contains(aAgent)) {
      affected.push_back(fence);
    }
  }
  for (const FenceId fence : affected) {
    FailAsUncertain(aContext, fence, "an agent that may have run it has left");
  }
}

} // namespace mulberrysail::core
