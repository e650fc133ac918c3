#include "core/internal/entry/revocationcontroller.h"

#include <algorithm>
#include <map>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Exceeds the time in which an agent usually stops a run and reports it. */
constexpr Duration kRepeatInterval = std::chrono::milliseconds(100);
/** Most messages that repeat revocations in one interval, so that they take no
 * more than a share of what a thin entry can send. */
constexpr int kMaxRepeatsPerInterval = 8;

} // namespace

void
RevocationController::Revoke(EntryEventContext& aContext,
                             const Submission& aSubmission)
{
  std::map<ProcessId, RevokeBatch> batches;
  for (const WorkItem& item : aSubmission.m_items) {
    if (item.m_state != WorkState::Offered) {
      continue;
    }
    RevokeBatch& batch = batches[item.m_agent];
    batch.m_stopRunning = true;
    batch.m_attempts.push_back(item.m_attempt);
    m_board.m_attempts.erase(item.m_attempt);
    const auto agent = m_board.m_agents.find(item.m_agent);
    if (agent == m_board.m_agents.end()) {
      continue;
    }
    agent->second.m_openAttempts.erase(item.m_attempt);
    // A request runs to its end, whether it is revoked or not.
    if (aSubmission.m_kind == WorkKind::Task) {
      m_board.m_revocations.Add(
        item.m_agent, item.m_attempt, item.m_name, aContext.m_now);
      ArmTimer(aContext);
    }
  }
  for (auto& [agent, batch] : batches) {
    aContext.Send(agent, std::move(batch));
  }
}

void
RevocationController::OnLinkReset(EntryEventContext& aContext,
                                  const ProcessId& aAgent)
{
  Repeat(aContext, aAgent, aContext.m_now);
}

bool
RevocationController::OnTimer(EntryEventContext& aContext)
{
  m_board.m_isRevocationTimerArmed = false;
  // The sending of a revocation and the reading of its answer may each be late
  // by as much as this entry is behind.
  const Instant sentUntil =
    aContext.m_now - kRepeatInterval - 2 * m_board.m_messageProgress.Delay();
  bool anyEnded = false;
  int repeatsLeft = kMaxRepeatsPerInterval;
  for (const ProcessId& agent : AgentsInTurn()) {
    if (HaveAllRunsEnded(aContext, agent)) {
      m_board.m_revocations.RemoveAgent(agent);
      anyEnded = true;
    } else if (repeatsLeft > 0 && Repeat(aContext, agent, sentUntil)) {
      m_board.m_lastRepeatedRevocationTo = agent;
      --repeatsLeft;
    }
  }
  if (!m_board.m_revocations.Empty()) {
    ArmTimer(aContext);
  }
  return anyEnded;
}

std::vector<ProcessId>
RevocationController::AgentsInTurn() const
{
  std::vector<ProcessId> agents = m_board.m_revocations.Agents();
  const std::vector<ProcessId>::iterator next = std::upper_bound(
    agents.begin(), agents.end(), m_board.m_lastRepeatedRevocationTo);
  std::rotate(agents.begin(), next, agents.end());
  return agents;
}

void
RevocationController::ArmTimer(const EntryEventContext& aContext)
{
  if (!std::exchange(m_board.m_isRevocationTimerArmed, true)) {
    m_board.m_timers.Add(aContext.m_now + kRepeatInterval, RevocationTimer{});
  }
}

bool
RevocationController::Repeat(EntryEventContext& aContext,
                             const ProcessId& aAgent,
                             Instant aSentUntil)
{
  RevokeBatch batch;
  batch.m_stopRunning = true;
  batch.m_attempts =
    m_board.m_revocations.TakeUnsent(aAgent, aSentUntil, aContext.m_now);
  if (batch.m_attempts.empty()) {
    return false;
  }
  aContext.Record(
    EventCode::RevocationRepeated,
    0,
    DescribeProcess("agent", aAgent).Add("attempts", batch.m_attempts.size()));
  aContext.Send(aAgent, std::move(batch));
  return true;
}

bool
RevocationController::HaveAllRunsEnded(const EntryEventContext& aContext,
                                       const ProcessId& aAgent) const
{
  const auto agent = m_board.m_agents.find(aAgent);
  const bool isKnown = agent != m_board.m_agents.end();
  const Duration runsEndAfter = m_board.m_policy.m_runsEndAfter;
  if (runsEndAfter == Duration::zero()) {
    return !isKnown;
  }
  const Instant grantedAt = isKnown
                              ? agent->second.m_leaseGrantedAt
                              : m_board.m_revocations.LeaseGrantedAt(aAgent);
  return grantedAt + runsEndAfter <= aContext.m_now;
}

} // namespace mulberrysail::core
