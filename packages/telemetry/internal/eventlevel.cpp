#include "telemetry/eventlevel.h"

#include <algorithm>
#include <array>

namespace mulberrysail::telemetry {

namespace {

struct LevelRange
{
  /** The first number of the range; it ends before the next. */
  int m_first;
  EventLevel m_level;
};

constexpr std::array kRanges = {
  LevelRange{ 0, EventLevel::Info },   LevelRange{ 103, EventLevel::Warning },
  LevelRange{ 104, EventLevel::Info }, LevelRange{ 200, EventLevel::Verbose },
  LevelRange{ 400, EventLevel::Info }, LevelRange{ 500, EventLevel::Verbose },
  LevelRange{ 600, EventLevel::Info }, LevelRange{ 603, EventLevel::Warning },
};

} // namespace

EventLevel
LevelOf(core::EventCode aCode)
{
  const auto next =
    std::find_if(kRanges.begin(), kRanges.end(), [&](const LevelRange& aRange) {
      return aRange.m_first > static_cast<int>(aCode);
    });
  return std::prev(next)->m_level;
}

std::string_view
LevelName(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Verbose:
      return "verbose";
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
  }
  return "info";
}

} // namespace mulberrysail::telemetry
