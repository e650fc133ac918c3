#include "core/internal/entry/agentindex.h"

#include <string>

namespace mulberrysail::core {

namespace {

/** Share of a warming-up worker's cores that counts for admission, as its tasks
 * take longer and it gets them only if no other capacity is free. */
constexpr double kWarmingUpShare = 0.5;

/** @return the cores of the worker that count for admission. */
double
UsableCores(const WorkerInfo& aWorker)
{
  const double cores = aWorker.m_capacity.m_milliCores / 1000.0;
  if (aWorker.m_quarantined) {
    return 0;
  }
  return aWorker.m_warmingUp ? cores * kWarmingUpShare : cores;
}

std::string
ServiceOf(const AgentRecord& aAgent)
{
  return aAgent.m_announced.m_endpoint
           ? aAgent.m_announced.m_endpoint->m_service
           : std::string();
}

} // namespace

void
AgentIndex::AddToTaskPools(AgentRecord& aAgent)
{
  double cores = 0;
  for (const WorkerInfo& worker : aAgent.m_announced.m_workers) {
    cores += UsableCores(worker);
  }
  const bool isReserved =
    aAgent.m_takesIsolated && !m_board.m_isolation.Empty();
  if (!isReserved) {
    m_board.m_taskPool.m_agents.push_back(&aAgent);
    m_board.m_taskPool.m_parallelism += cores;
  }
  if (aAgent.m_takesIsolated) {
    m_board.m_isolatedPool.m_agents.push_back(&aAgent);
    m_board.m_isolatedPool.m_parallelism += cores;
  }
}

void
AgentIndex::Rebuild()
{
  for (auto& [name, service] : m_board.m_services) {
    service.m_agents.clear();
    service.m_requestPool.m_parallelism = 0;
  }
  for (WaitPool* const pool :
       { &m_board.m_taskPool, &m_board.m_isolatedPool }) {
    pool->m_agents.clear();
    pool->m_parallelism = 0;
  }
  m_board.m_taskSpeeds.Clear();
  for (auto& [id, agent] : m_board.m_agents) {
    agent.m_isZoneDrained = m_board.m_drains.Contains(agent.m_announced.m_zone);
  }
  m_crashes.SelectAgents();
  for (auto& [id, agent] : m_board.m_agents) {
    m_board.m_taskSpeeds.Add(agent.m_taskSlowdown);
    const std::string name = ServiceOf(agent);
    if (!name.empty() && agent.ServesRequests(name)) {
      ServiceState& service = m_board.Service(name);
      service.m_agents.push_back(&agent);
      service.m_requestPool.m_parallelism += agent.EndpointSlots();
    }
    if (agent.ServesTasks()) {
      AddToTaskPools(agent);
    }
  }
  m_configs.SelectHolders();
}

} // namespace mulberrysail::core
