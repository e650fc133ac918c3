#pragma once

#include "telemetry/ieventlog.h"

#include <span>
#include <string>
#include <vector>

namespace mulberrysail::telemetry {

/** @return the events of several processes in the order of their stamps,
 * without duplicates. */
std::vector<TimelineEvent>
MergeTimelines(std::span<const std::vector<TimelineEvent>> aTimelines);

/** @return one line of text for each event, with its time in UTC. */
std::string
TimelineAsText(std::span<const TimelineEvent> aEvents);

/**
 * @param aEvents the events, ordered by stamp.
 * @return the events in the JSON format of Chrome's trace viewer. A submission
 * is a span from its admission to its answer, an attempt from its start to its
 * end; all other events are instants.
 */
std::string
TimelineAsChromeTrace(std::span<const TimelineEvent> aEvents);

} // namespace mulberrysail::telemetry
