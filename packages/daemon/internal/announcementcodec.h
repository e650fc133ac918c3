#pragma once

#include "core/types/events.h"
#include "core/types/result.h"

#include <string_view>

/** Announcements of endpoints and workers in the JSON of docs/API.md. */
namespace mulberrysail::daemon {

core::Result<core::EndpointAnnounced>
ParseEndpointBody(std::string_view aBody);

core::Result<core::WorkerAnnounced>
ParseWorkerBody(std::string_view aBody);

/** @return the name of the worker that asks for its agents. */
core::Result<std::string>
ParseLocateBody(std::string_view aBody);

} // namespace mulberrysail::daemon
