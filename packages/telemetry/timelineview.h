#pragma once

#include "telemetry/ieventlog.h"

#include <span>
#include <string>
#include <vector>

namespace mulberrysail::telemetry {

/** @return the events of several processes in one order, each once. */
std::vector<TimelineEvent>
MergeTimelines(std::span<const std::vector<TimelineEvent>> aTimelines);

/** @return one line for each event, with the time in UTC. */
std::string
TimelineAsText(std::span<const TimelineEvent> aEvents);

/**
 * @param aEvents in their order.
 * @return the events in the JSON format of Chrome's trace viewer. A submission
 * is a span from its admission to its answer, an attempt from its start to its
 * end; all else is an instant.
 */
std::string
TimelineAsChromeTrace(std::span<const TimelineEvent> aEvents);

} // namespace mulberrysail::telemetry
