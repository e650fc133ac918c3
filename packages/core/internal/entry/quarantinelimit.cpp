#include "core/internal/entry/quarantinelimit.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kRenewInterval = std::chrono::seconds(1);
/** For how long an agent is asked to use its failing workers. Covers the loss
 * of one renewal. */
constexpr Duration kUseFailingFor = 3 * kRenewInterval;
constexpr std::size_t kPercent = 100;

struct WorkerCount
{
  std::size_t m_all = 0;
  std::size_t m_failing = 0;
};

} // namespace

void
QuarantineLimit::Apply(EntryEventContext& aContext)
{
  const std::set<std::string, std::less<>> services = FailingServices();
  if (services.empty()) {
    return;
  }
  for (auto& [id, agent] : m_board.m_agents) {
    const bool isAffected =
      agent.ServesTasks() &&
      std::any_of(agent.m_announced.m_workers.begin(),
                  agent.m_announced.m_workers.end(),
                  [&](const WorkerInfo& aWorker) {
                    return aWorker.m_failing &&
                           services.contains(aWorker.m_service);
                  });
    if (isAffected &&
        agent.m_useFailingSentAt + kRenewInterval <= aContext.m_now) {
      agent.m_useFailingSentAt = aContext.m_now;
      EntryHello hello = m_board.MakeHello();
      hello.m_useFailingWorkersFor = kUseFailingFor;
      aContext.Send(id, hello);
    }
  }
  if (!m_board.m_isQuarantineTimerArmed) {
    m_board.m_isQuarantineTimerArmed = true;
    m_board.m_timers.Add(aContext.m_now + kRenewInterval, QuarantineTimer{});
  }
}

void
QuarantineLimit::OnTimer(EntryEventContext& aContext)
{
  m_board.m_isQuarantineTimerArmed = false;
  Apply(aContext);
}

std::set<std::string, std::less<>>
QuarantineLimit::FailingServices() const
{
  std::map<std::string, WorkerCount, std::less<>> counts;
  for (const auto& [id, agent] : m_board.m_agents) {
    if (agent.ServesTasks()) {
      for (const WorkerInfo& worker : agent.m_announced.m_workers) {
        WorkerCount& count = counts[worker.m_service];
        ++count.m_all;
        count.m_failing += worker.m_failing ? 1 : 0;
      }
    }
  }
  std::set<std::string, std::less<>> services;
  for (const auto& [service, count] : counts) {
    const std::size_t allowed = std::max<std::size_t>(
      count.m_all * m_board.m_policy.m_maxQuarantinedPercent / kPercent, 1);
    if (count.m_failing > allowed) {
      services.insert(service);
    }
  }
  return services;
}

} // namespace mulberrysail::core
