#include "daemon/internal/statuscodec.h"

#include "daemon/internal/counterrows.h"
#include "daemon/internal/resourcescodec.h"

#include <algorithm>

namespace mulberrysail::daemon {

namespace {

using nlohmann::json;

/** Milliseconds as a decimal number. */
double
Millis(core::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

json
EndpointToJson(const core::EndpointInfo& aEndpoint)
{
  return { { "service", aEndpoint.m_service },
           { "slots", aEndpoint.m_slots },
           { "connections", aEndpoint.m_connections },
           { "leaving", aEndpoint.m_leaving } };
}

json
WorkerToJson(const core::WorkerInfo& aWorker)
{
  json worker = ResourcesToJson(aWorker.m_capacity);
  worker["name"] = aWorker.m_name;
  worker["rack"] = aWorker.m_rack;
  worker["quarantined"] = aWorker.m_quarantined;
  worker["failing"] = aWorker.m_failing;
  return worker;
}

json
LoadToJson(const core::LoadReport& aLoad)
{
  return { { "free_slots", aLoad.m_freeSlots },
           { "queued_requests", aLoad.m_queuedRequests },
           { "queued_request_work_ms", Millis(aLoad.m_queuedRequestWork) },
           { "free_room", ResourcesToJson(aLoad.m_freeCapacity) },
           { "queued_tasks", aLoad.m_queuedTasks },
           { "queued_task_work_ms", Millis(aLoad.m_queuedTaskWork) } };
}

bool
Serves(const core::AgentStatus& aAgent, std::string_view aService)
{
  return aAgent.m_reachable && !aAgent.m_leaving && aAgent.m_endpoint &&
         !aAgent.m_endpoint->m_leaving &&
         aAgent.m_endpoint->m_service == aService;
}

json
ServiceToJson(const std::string& aName,
              const core::ServiceConfig& aService,
              const std::vector<core::AgentStatus>& aAgents)
{
  std::uint32_t endpoints = 0;
  std::uint32_t slots = 0;
  std::uint32_t freeSlots = 0;
  for (const core::AgentStatus& agent : aAgents) {
    if (Serves(agent, aName)) {
      ++endpoints;
      slots += agent.m_endpoint->m_slots;
      freeSlots += agent.m_load.m_freeSlots;
    }
  }
  return { { "name", aName },
           { "enabled", aService.m_enabled },
           { "endpoints", endpoints },
           { "slots", slots },
           { "free_slots", freeSlots } };
}

template<typename Counters>
json
RowsToJson(std::span<const CounterRow<Counters>> aRows,
           const Counters& aCounters)
{
  json object = json::object();
  for (const CounterRow<Counters>& row : aRows) {
    object[std::string(row.m_name)] = aCounters.*row.m_member;
  }
  return object;
}

} // namespace

json
AgentToJson(const core::AgentStatus& aAgent)
{
  json workers = json::array();
  for (const core::WorkerInfo& worker : aAgent.m_workers) {
    workers.push_back(WorkerToJson(worker));
  }
  return { { "name", aAgent.m_agent.m_name },
           { "incarnation", aAgent.m_agent.m_incarnation.m_value },
           { "zone", aAgent.m_zone },
           { "http_url", aAgent.m_httpAddress },
           { "leaving", aAgent.m_leaving },
           { "reachable", aAgent.m_reachable },
           { "config_version", aAgent.m_load.m_newestConfig.m_value },
           { "endpoint",
             aAgent.m_endpoint ? EndpointToJson(*aAgent.m_endpoint) : json() },
           { "workers", std::move(workers) },
           { "load", LoadToJson(aAgent.m_load) },
           { "open_attempts", aAgent.m_openAttempts },
           { "task_slowdown", aAgent.m_taskSlowdown } };
}

json
AgentsToJson(const std::vector<core::AgentStatus>& aAgents)
{
  json list = json::array();
  for (const core::AgentStatus& agent : aAgents) {
    list.push_back(AgentToJson(agent));
  }
  return { { "agents", std::move(list) } };
}

json
WorkersToJson(const std::vector<core::AgentStatus>& aAgents)
{
  json list = json::array();
  for (const core::AgentStatus& agent : aAgents) {
    // The workers of an unreachable agent have announced themselves to other
    // agents by now.
    if (!agent.m_reachable) {
      continue;
    }
    for (const core::WorkerInfo& worker : agent.m_workers) {
      json item = WorkerToJson(worker);
      item["agent"] = agent.m_agent.m_name;
      list.push_back(std::move(item));
    }
  }
  return { { "workers", std::move(list) } };
}

json
ServicesToJson(const core::Configuration& aConfiguration,
               const std::vector<core::AgentStatus>& aAgents)
{
  json list = json::array();
  for (const auto& [name, service] : aConfiguration.m_services) {
    list.push_back(ServiceToJson(name, service, aAgents));
  }
  return { { "services", std::move(list) } };
}

json
CountersToJson(const core::EntryCounters& aCounters)
{
  return RowsToJson(EntryCounterRows(), aCounters);
}

json
CountersToJson(const core::AgentCounters& aCounters)
{
  return RowsToJson(AgentCounterRows(), aCounters);
}

} // namespace mulberrysail::daemon
