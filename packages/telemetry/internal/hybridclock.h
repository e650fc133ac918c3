#pragma once

#include <atomic>
#include <cstdint>

namespace mulberrysail::telemetry {

/**
 * A hybrid logical clock: follows the wall clock, never goes back, and is
 * never behind a time that it was told of. Stamps hold milliseconds in the
 * upper 48 bits and a counter in the lower 16. Thread-safe.
 */
class HybridClock
{
public:
  /** @return a stamp greater than all before.
   * @param aWallMs the wall clock, in milliseconds since 1970. */
  std::uint64_t Next(std::uint64_t aWallMs);

  /** Takes in the stamp of a message received. One too far ahead of the wall
   * clock is ignored, so that one wrong clock can't drag all others along. */
  void Merge(std::uint64_t aStamp, std::uint64_t aWallMs);

private:
  std::atomic<std::uint64_t> m_last = 0;
};

} // namespace mulberrysail::telemetry
