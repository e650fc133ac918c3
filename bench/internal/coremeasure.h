#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace mulberrysail::bench {

/**
 * Times the entry core's decisions for a request among @p aAgents agents at
 * 70% load.
 * @return agents, microseconds a request (offer and answer together) and
 * bytes of memory an agent.
 */
nlohmann::json
MeasureEntryRequests(std::uint32_t aAgents, std::uint32_t aRequests);

/** The same for jobs of @p aTasks tasks, one worker for each agent. */
nlohmann::json
MeasureEntryJobs(std::uint32_t aAgents,
                 std::uint32_t aTasks,
                 std::uint32_t aJobs);

/** The entry core's time and memory for one more team, and for a new
 * configuration of @p aTeams teams. */
nlohmann::json
MeasureConfiguration(std::uint32_t aTeams);

/** Times the agent core for one request that is offered, run and answered,
 * with @p aEntries entries that have asked for its load. */
nlohmann::json
MeasureAgent(std::uint32_t aEntries, std::uint32_t aRequests);

} // namespace mulberrysail::bench
