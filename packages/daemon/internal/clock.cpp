#include "daemon/internal/clock.h"

#include <xxhash.h>

#include <time.h>

#include <chrono>
#include <random>

namespace mulberrysail::daemon {

core::Instant
Now()
{
  // Leases also expire while the machine is suspended. Only this clock counts
  // that time.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::Instant(std::chrono::duration_cast<core::Duration>(
    std::chrono::seconds(time.tv_sec) +
    std::chrono::nanoseconds(time.tv_nsec)));
}

core::Incarnation
MakeIncarnation()
{
  // The random bits distinguish two incarnations that start at the same
  // instant.
  constexpr std::uint64_t kRandomMask = 0xFF;
  const std::uint64_t wall = static_cast<std::uint64_t>(
    std::chrono::duration_cast<core::Duration>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  return { (wall & ~kRandomMask) | (MakeRandomSeed() & kRandomMask) };
}

std::uint64_t
MakeRandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t
DeriveSeed(std::optional<std::uint64_t> aSeed, const core::ProcessId& aProcess)
{
  if (!aSeed) {
    return MakeRandomSeed();
  }
  const std::string& name = aProcess.m_name;
  return XXH3_64bits_withSeed(name.data(), name.size(), *aSeed);
}

} // namespace mulberrysail::daemon
