#include "core/internal/entry/lostruns.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** Runs beyond the limit that a task may lose without a crash, such as with a
 * silent agent. */
constexpr std::size_t kUnexplainedLosses = 2;
/** Workers that must have crashed under a task to call it their cause. */
constexpr std::size_t kMinCrashesOfCulprit = 2;

} // namespace

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
  const std::size_t limit = aBoard.m_policy.m_maxLostRuns;
  // Agents don't announce which requests are lost with an endpoint.
  const std::size_t lostLimit = aSubmission.m_kind == WorkKind::Request
                                  ? limit
                                  : limit + kUnexplainedLosses;
  return lost >= lostLimit || aBoard.m_crashes.CrashesOf(name) >= limit ||
         aBoard.m_crashes.IsProven(name);
}

ErrorKind
KindOfGivenUp(const EntryBoard& aBoard,
              const Submission& aSubmission,
              const WorkItem& aItem)
{
  const std::size_t crashes =
    aBoard.m_crashes.ConfirmedCrashesOf(NameOf(aSubmission, aItem));
  return crashes >= kMinCrashesOfCulprit ? ErrorKind::CrashesWorkers
                                         : ErrorKind::RunLost;
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
