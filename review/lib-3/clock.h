#pragma once

#include <chrono>
#include <cstdint>

namespace mulberrysail::review3 {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
using Instant = SteadyClock::time_point;

inline Instant
Now()
{
  return SteadyClock::now();
}

/** @return whole milliseconds from @p aFrom to @p aTo. */
inline std::int64_t
MillisBetween(Instant aFrom, Instant aTo)
{
  return std::chrono::duration_cast<milliseconds>(aTo - aFrom).count();
}

} // namespace mulberrysail::review3
