#include "core/internal/entry/lostruns.h"

#include <algorithm>

namespace mulberrysail::core {

const std::string&
NameOf(const Submission& aSubmission, const WorkItem& aItem)
{
  return aSubmission.m_key ? aSubmission.m_key->m_key : aItem.m_name;
}

bool
MustGiveUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem)
{
  const std::string& name = NameOf(aSubmission, aItem);
  const std::size_t lost =
    std::max<std::size_t>(aItem.m_lostRuns, aBoard.m_crashes.LostRunsOf(name));
  return lost >= aBoard.m_policy.m_maxLostRuns ||
         aBoard.m_crashes.IsProven(name);
}

bool
MustIsolate(const EntryBoard& aBoard,
            const Submission& aJob,
            const WorkItem& aTask)
{
  const bool isSuspect =
    aBoard.m_isolation.Contains(aJob.m_queue) ||
    aBoard.m_crashes.SuspectedRunsOf(NameOf(aJob, aTask)) > 0;
  if (!isSuspect || aJob.m_kind == WorkKind::Request) {
    return false;
  }
  return std::any_of(
    aBoard.m_agents.begin(), aBoard.m_agents.end(), [&](const auto& aPair) {
      const AgentRecord& agent = aPair.second;
      return agent.m_takesIsolated &&
             std::any_of(agent.m_lastWorkers.begin(),
                         agent.m_lastWorkers.end(),
                         [&](const WorkerInfo& aWorker) {
                           return CanRun(aWorker,
                                         aJob.m_service,
                                         aTask.m_requiredLabel,
                                         aTask.m_need);
                         });
    });
}

bool
IsIsolated(const EntryBoard& aBoard, const Submission& aJob)
{
  return aBoard.m_isolation.Contains(aJob.m_queue) &&
         MustIsolate(aBoard, aJob, aJob.m_items.front());
}

std::string
WhyGivenUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem)
{
  const std::string& name = NameOf(aSubmission, aItem);
  const std::string known = aBoard.m_crashes.Describe(name);
  return name + ": " +
         (known.empty() ? std::to_string(aItem.m_lostRuns) + " runs were lost"
                        : known);
}

} // namespace mulberrysail::core
