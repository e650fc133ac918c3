#pragma once

#include "core/types/resources.h"
#include "daemon/internal/jsonfields.h"

namespace mulberrysail::daemon {

/** Reads `cores`, `memory_mb` and `accelerators`; absent are @p aDefaultCores
 * and zero. */
core::Resources
ReadResources(JsonFields& aFields, double aDefaultCores);

/** @return an object with the three fields. */
nlohmann::json
ResourcesToJson(const core::Resources& aResources);

} // namespace mulberrysail::daemon
