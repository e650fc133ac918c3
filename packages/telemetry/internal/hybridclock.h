#pragma once

#include <atomic>
#include <cstdint>

namespace mulberrysail::telemetry {

/**
 * A hybrid logical clock: follows the wall clock, never goes back, and is
 * never behind a stamp that it has merged. Stamps hold milliseconds in the
 * upper 48 bits and a counter in the lower 16. Thread-safe.
 */
class HybridClock
{
public:
  /** @return a stamp greater than all returned or merged before.
   * @param aWallMs the wall clock, in milliseconds since 1970. */
  std::uint64_t Next(std::uint64_t aWallMs);

  /** Advances the clock to the stamp of a received message. A stamp too far
   * ahead of the wall clock is ignored, so that one wrong clock can't advance
   * the clocks of all other processes.
   * @param aWallMs the wall clock, in milliseconds since 1970. */
  void Merge(std::uint64_t aStamp, std::uint64_t aWallMs);

private:
  std::atomic<std::uint64_t> m_last = 0;
};

} // namespace mulberrysail::telemetry
