#pragma once

#include "core/types/eventcode.h"

#include <cstdint>
#include <string_view>

namespace mulberrysail::telemetry {

/** The severity at which an event is logged. */
enum class EventLevel : std::uint8_t
{
  /** Repeats information that other events of the same work carry; logged only
   * on request. */
  Verbose,
  Info,
  /** Refusals, failures and lost dependencies. */
  Warning,
};

/** @return the level at which events of @p aCode are logged. */
EventLevel
LevelOf(core::EventCode aCode);

/** @return "verbose", "info" or "warning". */
std::string_view
LevelName(EventLevel aLevel);

} // namespace mulberrysail::telemetry
