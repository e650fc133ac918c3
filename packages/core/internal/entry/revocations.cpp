#include "core/internal/entry/revocations.h"

namespace mulberrysail::core {

void
Revocations::Add(const ProcessId& aAgent,
                 AttemptId aAttempt,
                 const std::string& aTask,
                 Instant aNow)
{
  const bool isNew =
    m_byAgent[aAgent]
      .m_attempts.try_emplace(aAttempt, RevokedAttempt{ aTask, aNow })
      .second;
  if (isNew && !aTask.empty()) {
    ++m_countByTask[aTask];
  }
}

bool
Revocations::Remove(const ProcessId& aAgent, AttemptId aAttempt)
{
  const auto agent = m_byAgent.find(aAgent);
  if (agent == m_byAgent.end()) {
    return false;
  }
  const auto attempt = agent->second.m_attempts.find(aAttempt);
  if (attempt == agent->second.m_attempts.end()) {
    return false;
  }
  ReleaseTask(attempt->second.m_task);
  agent->second.m_attempts.erase(attempt);
  if (agent->second.m_attempts.empty()) {
    m_byAgent.erase(agent);
  }
  return true;
}

void
Revocations::RemoveAgent(const ProcessId& aAgent)
{
  const auto agent = m_byAgent.find(aAgent);
  if (agent == m_byAgent.end()) {
    return;
  }
  for (const auto& [id, attempt] : agent->second.m_attempts) {
    ReleaseTask(attempt.m_task);
  }
  m_byAgent.erase(agent);
}

std::vector<AttemptId>
Revocations::TakeUnsent(const ProcessId& aAgent,
                        Instant aSentUntil,
                        Instant aNow)
{
  std::vector<AttemptId> attempts;
  const auto agent = m_byAgent.find(aAgent);
  if (agent == m_byAgent.end()) {
    return attempts;
  }
  for (auto& [id, attempt] : agent->second.m_attempts) {
    if (attempt.m_sentAt <= aSentUntil) {
      attempt.m_sentAt = aNow;
      attempts.push_back(id);
    }
  }
  return attempts;
}

std::vector<ProcessId>
Revocations::Agents() const
{
  std::vector<ProcessId> agents;
  agents.reserve(m_byAgent.size());
  for (const auto& [agent, revocations] : m_byAgent) {
    agents.push_back(agent);
  }
  return agents;
}

void
Revocations::SetLeaseGrantedAt(const ProcessId& aAgent, Instant aGrantedAt)
{
  const auto agent = m_byAgent.find(aAgent);
  if (agent != m_byAgent.end()) {
    agent->second.m_leaseGrantedAt = aGrantedAt;
  }
}

Instant
Revocations::LeaseGrantedAt(const ProcessId& aAgent) const
{
  const auto agent = m_byAgent.find(aAgent);
  return agent == m_byAgent.end() ? Instant() : agent->second.m_leaseGrantedAt;
}

void
Revocations::ReleaseTask(const std::string& aTask)
{
  const auto count = m_countByTask.find(aTask);
  if (count != m_countByTask.end() && --count->second == 0) {
    m_countByTask.erase(count);
  }
}

} // namespace mulberrysail::core
