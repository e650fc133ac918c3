#include "core/internal/entry/claimcontroller.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr std::uint32_t kFirstSubmission = 1;
/** How long an agent may take to say whether it holds a key. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1000);

} // namespace

bool
ClaimController::Begin(EntryTurn& aTurn, Submission& aSubmission)
{
  if (!aSubmission.m_key || aSubmission.m_repeatable) {
    return false;
  }
  CallerKey& key = *aSubmission.m_key;
  if (key.m_submission == kFirstSubmission) {
    return false;
  }
  SupersedeOwn(aTurn, aSubmission);
  const FenceId fence{ m_board.NextId() };
  key.m_claim = std::hash<ProcessId>{}(m_board.m_self) ^ fence.m_value;
  key.m_claim = std::max<std::uint64_t>(key.m_claim, 1);

  Claim claim;
  claim.m_work = { aSubmission.m_id, 0 };
  claim.m_key = key;
  const AskedSet asked = WhomToAsk(aTurn, aSubmission.m_service);
  claim.m_asked.insert(asked.m_present.begin(), asked.m_present.end());
  claim.m_uncertain = asked.m_anyDeparted;
  aSubmission.m_items.front().m_state = WorkState::Claiming;
  for (const ProcessId& agent : claim.m_asked) {
    aTurn.Send(
      agent,
      FenceQuery{
        fence, aSubmission.m_service, key, m_board.m_policy.m_keyRetention });
  }
  m_board.m_claims.emplace(fence, std::move(claim));
  m_board.m_timers.Add(aTurn.m_now + kReplyTimeout, ClaimTimer{ fence });
  Settle(aTurn, fence);
  return true;
}

void
ClaimController::SupersedeOwn(EntryTurn& aTurn, const Submission& aNewer)
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
    m_answers.Fail(aTurn,
                   *m_board.Find(id),
                   ErrorKind::Superseded,
                   "submitted again with the same key");
  }
}

ClaimController::AskedSet
ClaimController::WhomToAsk(EntryTurn& aTurn, const std::string& aService) const
{
  // Which agents another entry knew, and could reach, when it chose one for
  // an earlier submission can't be told from here, so each one counts.
  const Instant since = aTurn.m_now - m_board.m_policy.m_keyRetention;
  AskedSet asked;
  for (const auto& [id, agent] : m_board.m_agents) {
    if (agent.m_served.contains(aService)) {
      asked.m_present.push_back(id);
    }
  }
  const bool memoryTooShort = m_board.m_departuresKnownSince > since;
  asked.m_anyDeparted =
    memoryTooShort ||
    std::any_of(m_board.m_departed.begin(),
                m_board.m_departed.end(),
                [&](const DepartedRecord& aRecord) {
                  return aRecord.m_agent.m_service == aService &&
                         aRecord.m_departedAt > since;
                });
  return asked;
}

void
ClaimController::OnReply(EntryTurn& aTurn,
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
        m_answers.Fail(aTurn,
                       *submission,
                       ErrorKind::Superseded,
                       "another submission with the same key was first");
        return;
      }
      claim.m_asked.erase(aFrom);
      // It has forgotten some keys for lack of memory; this may be one.
      claim.m_uncertain = claim.m_uncertain ||
                          aReply.m_recordsCover < m_board.m_policy.m_keyRetention;
      break;
    case AttemptFate::Queued:
    case AttemptFate::Running:
      aTurn.Record(EventCode::KeyHeld,
                   *submission,
                   EventDetail()
                     .Add("agent", aFrom.m_name)
                     .Add("fate", FateName(aReply.m_fate)));
      claim.m_held = true;
      return;
    case AttemptFate::Completed:
      aTurn.Record(EventCode::KeyHeld,
                   *submission,
                   EventDetail()
                     .Add("agent", aFrom.m_name)
                     .Add("fate", FateName(aReply.m_fate)));
      m_board.m_claims.erase(found);
      submission->m_items.front().m_output = std::move(aReply.m_output);
      submission->m_items.front().m_state = WorkState::Done;
      submission->m_done = 1;
      m_answers.Complete(aTurn, *submission);
      return;
    case AttemptFate::Failed:
    case AttemptFate::Interrupted:
    case AttemptFate::Lost:
      submission->m_items.front().m_doubtful = true;
      m_board.m_claims.erase(found);
      m_answers.Fail(aTurn,
                     *submission,
                     aReply.m_fate == AttemptFate::Failed
                       ? ErrorKind::TaskFailed
                       : ErrorKind::RepeatUncertain,
                     "an earlier submission with this key: " +
                       std::string(DescribeError(aReply.m_kind).m_name));
      return;
  }
  Settle(aTurn, aReply.m_fence);
}

void
ClaimController::Settle(EntryTurn& aTurn, FenceId aFence)
{
  const auto found = m_board.m_claims.find(aFence);
  if (found == m_board.m_claims.end() || !found->second.m_asked.empty()) {
    return;
  }
  if (found->second.m_uncertain) {
    Uncertain(aTurn, aFence, "an agent that may have run it has left");
    return;
  }
  const WorkRef work = found->second.m_work;
  m_board.m_claims.erase(found);
  Submission* submission = m_board.Find(work.m_submission);
  if (submission == nullptr) {
    return;
  }
  aTurn.Record(
    EventCode::KeyFenced,
    *submission,
    EventDetail().Add("submission", submission->m_key->m_submission));
  const std::string service = submission->m_service;
  m_dispatch.Enqueue(aTurn, work);
  m_dispatch.DispatchRequests(aTurn, service);
}

void
ClaimController::Uncertain(EntryTurn& aTurn,
                           FenceId aFence,
                           std::string aDetail)
{
  const WorkRef work = m_board.m_claims.at(aFence).m_work;
  m_board.m_claims.erase(aFence);
  Submission* submission = m_board.Find(work.m_submission);
  if (submission == nullptr) {
    return;
  }
  aTurn.Record(
    EventCode::KeyUncertain, *submission, EventDetail().Add("cause", aDetail));
  submission->m_items.front().m_doubtful = true;
  m_answers.Fail(
    aTurn, *submission, ErrorKind::RepeatUncertain, std::move(aDetail));
}

void
ClaimController::OnTimer(EntryTurn& aTurn, FenceId aFence)
{
  const auto found = m_board.m_claims.find(aFence);
  if (found == m_board.m_claims.end() || found->second.m_held) {
    return;
  }
  Uncertain(aTurn, aFence, "an agent that may have run it doesn't answer");
}

void
ClaimController::OnAgentGone(EntryTurn& aTurn, const ProcessId& aAgent)
{
  std::vector<FenceId> affected;
  for (const auto& [fence, claim] : m_board.m_claims) {
    if (claim.m_asked.contains(aAgent)) {
      affected.push_back(fence);
    }
  }
  for (const FenceId fence : affected) {
    Uncertain(aTurn, fence, "an agent that may have run it has left");
  }
}

} // namespace mulberrysail::core
