#include "telemetry/internal/hybridclock.h"

#include <algorithm>

namespace mulberrysail::telemetry {

namespace {

constexpr unsigned kCounterBits = 16;
constexpr std::uint64_t kMaxAheadMs = 60000;

} // namespace

std::uint64_t
HybridClock::Next(std::uint64_t aWallMs)
{
  std::uint64_t last = m_last.load();
  std::uint64_t next = 0;
  do {
    next = std::max(last + 1, aWallMs << kCounterBits);
  } while (!m_last.compare_exchange_weak(last, next));
  return next;
}

void
HybridClock::Merge(std::uint64_t aStamp, std::uint64_t aWallMs)
{
  if ((aStamp >> kCounterBits) > aWallMs + kMaxAheadMs) {
    return;
  }
  std::uint64_t last = m_last.load();
  while (last < aStamp && !m_last.compare_exchange_weak(last, aStamp)) {
  }
}

} // namespace mulberrysail::telemetry
