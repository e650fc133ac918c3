#pragma once

#include "core/types/configuration.h"
#include "core/types/status.h"

#include <nlohmann/json.hpp>

#include <vector>

/** What operators are shown, in the JSON of docs/API.md. */
namespace mulberrysail::daemon {

/** @return `{"agents": [...]}` */
nlohmann::json
AgentsToJson(const std::vector<core::AgentStatus>& aAgents);

/** @return one agent, as in the list of all. */
nlohmann::json
AgentToJson(const core::AgentStatus& aAgent);

/** @return `{"workers": [...]}`, each with the agent that looks after it. */
nlohmann::json
WorkersToJson(const std::vector<core::AgentStatus>& aAgents);

/** @return `{"services": [...]}` with what serves each of them. */
nlohmann::json
ServicesToJson(const core::Configuration& aConfiguration,
               const std::vector<core::AgentStatus>& aAgents);

nlohmann::json
CountersToJson(const core::EntryCounters& aCounters);
nlohmann::json
CountersToJson(const core::AgentCounters& aCounters);

} // namespace mulberrysail::daemon
