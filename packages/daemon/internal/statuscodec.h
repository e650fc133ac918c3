#pragma once

#include "core/types/configuration.h"
#include "core/types/status.h"

#include <nlohmann/json.hpp>

#include <vector>

/** Status information for operators, in the JSON format of docs/API.md. */
namespace mulberrysail::daemon {

/** @return `{"agents": [...]}` */
nlohmann::json
AgentsToJson(const std::vector<core::AgentStatus>& aAgents);

/** @return one agent, in the format of the list's items. */
nlohmann::json
AgentToJson(const core::AgentStatus& aAgent);

/** @return `{"workers": [...]}`, each with the agent that manages it. */
nlohmann::json
WorkersToJson(const std::vector<core::AgentStatus>& aAgents);

/** @return `{"services": [...]}`, each with the numbers of its endpoints, slots
 * and free slots. */
nlohmann::json
ServicesToJson(const core::Configuration& aConfiguration,
               const std::vector<core::AgentStatus>& aAgents);

nlohmann::json
CountersToJson(const core::EntryCounters& aCounters);
nlohmann::json
CountersToJson(const core::AgentCounters& aCounters);

} // namespace mulberrysail::daemon
