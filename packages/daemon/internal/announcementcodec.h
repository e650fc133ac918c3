#pragma once

#include "core/types/events.h"
#include "core/types/result.h"

#include <string_view>

/** Parsers for the announcements of endpoints and workers, in the JSON format
 * of docs/API.md. */
namespace mulberrysail::daemon {

core::Result<core::EndpointAnnounced>
ParseEndpointBody(std::string_view aBody);

core::Result<core::WorkerAnnounced>
ParseWorkerBody(std::string_view aBody);

/** @return the name of the worker that looks up its agents. */
core::Result<std::string>
ParseLocateBody(std::string_view aBody);

} // namespace mulberrysail::daemon
