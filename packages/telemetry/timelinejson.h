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
 * @param aSelf the process whose events they are.
 * @param aEvents what its log holds.
 * @return the body that GET /v1/timeline answers. Stamps, subjects and the
 * incarnation are decimal strings, since they don't fit a JSON double.
 */
std::string
TimelineToJson(const core::ProcessId& aSelf,
               std::span<const TimelineEvent> aEvents);

/** @return the events of such a body; MalformedRequest if it isn't one. */
core::Result<std::vector<TimelineEvent>>
TimelineFromJson(std::string_view aJson);

} // namespace mulberrysail::telemetry
