#pragma once

#include "core/types/eventcode.h"

#include <cstdint>
#include <string_view>

namespace mulberrysail::telemetry {

/** How an event is logged; decided by the range of its number. */
enum class EventLevel : std::uint8_t
{
  /** Logged only with verbosity 1 or more: one or more for each submission. */
  Verbose,
  Info,
  Warning,
};

/** @return the level of @p aCode. */
EventLevel
LevelOf(core::EventCode aCode);

/** @return "verbose", "info" or "warning". */
std::string_view
LevelName(EventLevel aLevel);

} // namespace mulberrysail::telemetry
