#pragma once

#include "core/types/resources.h"
#include "daemon/internal/jsonfields.h"

namespace mulberrysail::daemon {

/** Reads `cores`, `memory_mb` and `accelerators`. The default is
 * @p aDefaultCores for the cores and zero for the others. */
core::Resources
ReadResources(JsonFields& aFields, double aDefaultCores);

/** @return an object with `cores`, `memory_mb` and `accelerators`. */
nlohmann::json
ResourcesToJson(const core::Resources& aResources);

} // namespace mulberrysail::daemon
