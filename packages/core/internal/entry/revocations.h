#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core {

/** The tasks that an entry has revoked and whose runs may not have ended yet.
 * An entry must neither forget them nor start a task of the same name. */
class Revocations
{
public:
  void Add(const ProcessId& aAgent,
           AttemptId aAttempt,
           const std::string& aTask,
           Instant aNow);

  /** Removes an attempt that @p aAgent has reported as ended.
   * @return whether it was revoked. */
  bool Remove(const ProcessId& aAgent, AttemptId aAttempt);

  /** Removes all attempts at @p aAgent. */
  void RemoveAgent(const ProcessId& aAgent);

  /** @return the attempts at @p aAgent whose revocation was sent last at or
   * before @p aSentUntil, in ascending order; they count as sent at @p aNow. */
  std::vector<AttemptId> TakeUnsent(const ProcessId& aAgent,
                                    Instant aSentUntil,
                                    Instant aNow);

  /** @return the agents with revoked attempts. */
  std::vector<ProcessId> Agents() const;

  /** Records when the entry granted the last lease of the runs at @p aAgent, if
   * any of its attempts is revoked. */
  void SetLeaseGrantedAt(const ProcessId& aAgent, Instant aGrantedAt);

  /** @return the instant of the last SetLeaseGrantedAt(). */
  Instant LeaseGrantedAt(const ProcessId& aAgent) const;

  /** @return whether a run of the task called @p aTask may not have ended. */
  bool MayStillRun(const std::string& aTask) const
  {
    return m_countByTask.contains(aTask);
  }

  bool Empty() const { return m_byAgent.empty(); }

private:
  struct RevokedAttempt
  {
    std::string m_task;
    Instant m_sentAt;
  };
  struct AgentRevocations
  {
    std::map<AttemptId, RevokedAttempt> m_attempts;
    Instant m_leaseGrantedAt;
  };

  void ReleaseTask(const std::string& aTask);

  std::map<ProcessId, AgentRevocations> m_byAgent;
  std::unordered_map<std::string, std::uint32_t> m_countByTask;
};

} // namespace mulberrysail::core
