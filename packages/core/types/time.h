#pragma once

#include <chrono>
#include <cstdint>

namespace mulberrysail::core {

/**
 * The monotonic clock of one process, in microseconds. The cores never read
 * it: the caller of Handle() passes the current time.
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

/**
 * The steady clock of a worker, in milliseconds. It begins anew with each start
 * of the worker, so times of two starts must not be compared.
 */
struct WorkerClock
{
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WorkerClock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard
};

using WorkerInstant = WorkerClock::time_point;

/** An instant that is never reached. */
inline constexpr Instant kNever = Instant::max();

} // namespace mulberrysail::core
