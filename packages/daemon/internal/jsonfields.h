#pragma once

#include "core/types/result.h"
#include "input/jsonfields.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace mulberrysail::daemon {

using input::JsonFields;

/** @return the document in @p aBody, or nothing if it is not a JSON object or
 * exceeds a limit of input::JsonLimits. */
std::optional<nlohmann::json>
ParseObject(std::string_view aBody);

/** @return MalformedRequest with the first error, or nothing. */
std::optional<core::Error>
FinishFields(JsonFields& aFields);

} // namespace mulberrysail::daemon
