#include "core/internal/entry/demandview.h"

#include "core/internal/entry/jobpolicy.h"

#include <algorithm>
#include <vector>

namespace mulberrysail::core {

namespace {

Duration
SumUpTo(const std::vector<PriorityWork>& aWork, std::uint32_t aPriority)
{
  Duration sum{};
  for (const PriorityWork& part : aWork) {
    if (part.m_priority <= aPriority) {
      sum += part.m_coreTime;
    }
  }
  return sum;
}

} // namespace

Demand
DemandView::StatementTo(const AgentRecord& aAgent) const
{
  const bool isolated =
    aAgent.m_takesIsolated && !m_board.m_isolatedPool.m_queue.Empty();
  const WaitQueue& queue =
    isolated ? m_board.m_isolatedPool.m_queue : m_board.m_taskPool.m_queue;
  Demand demand;
  if (queue.Empty()) {
    return demand;
  }
  demand.m_milliCores = queue.MilliCores();
  demand.m_work = queue.CoreTimeByPriority();
  const WorkRef first = queue.Ordered().begin()->first.m_work;
  const Submission& job = m_board.m_submissions.at(first.m_submission);
  demand.m_earliestDispatch =
    LatestStartByPriority(m_board, job) + aAgent.m_clockOffset.Latest();
  return demand;
}

OthersWork
DemandView::OthersUpTo(Instant aNow, std::uint32_t aPriority) const
{
  OthersWork others;
  std::vector<Duration> recent;
  for (const AgentRecord* agent : m_board.m_taskPool.m_agents) {
    if (agent->m_load.m_sequence == 0) {
      continue;
    }
    const Duration age = aNow - agent->m_loadReceivedAt;
    others.m_age = std::min(others.m_age.value_or(age), age);
    if (age <= kMaxDemandAge) {
      recent.push_back(SumUpTo(agent->m_load.m_demandOfOthers, aPriority));
    }
  }
  if (recent.empty()) {
    return others;
  }
  const auto middle =
    recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
  std::nth_element(recent.begin(), middle, recent.end());
  others.m_coreTime = *middle;
  return others;
}

} // namespace mulberrysail::core
