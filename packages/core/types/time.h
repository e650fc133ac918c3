#pragma once

#include <chrono>
#include <cstdint>

namespace mulberrysail::core {

/**
 * The monotonic clock of one process, in microseconds. The core never reads
 * it: each event carries the time at which it is handled.
 */
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard
};

using Duration = MonotonicClock::duration;
using Instant = MonotonicClock::time_point;

/** An instant that is never reached. */
inline constexpr Instant kNever = Instant::max();

} // namespace mulberrysail::core
