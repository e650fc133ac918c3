#pragma once

#include "core/types/ids.h"
#include "core/types/result.h"
#include "telemetry/ieventlog.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::telemetry {

/**
 * @param aSelf the process that recorded the events.
 * @param aEvents the events in its log.
 * @return the response body of GET /v1/timeline. Stamps, subjects and the
 * incarnation are decimal strings, since a JSON double can't represent them
 * exactly.
 */
std::string
TimelineToJson(const core::ProcessId& aSelf,
               std::span<const TimelineEvent> aEvents);

/** Parses a response body of GET /v1/timeline.
 * @return its events; MalformedRequest if the body is invalid. */
core::Result<std::vector<TimelineEvent>>
TimelineFromJson(std::string_view aJson);

} // namespace mulberrysail::telemetry
