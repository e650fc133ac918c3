#include "telemetry/internal/logratelimiter.h"

#include <utility>

namespace mulberrysail::telemetry {

bool
LogRateLimiter::TryAcquire(core::EventCode aCode, std::uint64_t aSecond)
{
  StartSecond(aSecond);
  KindCounts& kind = m_kinds[aCode];
  if (m_linesPerSecond != 0 && kind.m_allowed >= m_linesPerSecond) {
    ++kind.m_suppressed;
    return false;
  }
  ++kind.m_allowed;
  return true;
}

std::vector<SuppressedLines>
LogRateLimiter::TakeSuppressedBefore(std::uint64_t aSecond)
{
  StartSecond(aSecond);
  return std::exchange(m_unreported, {});
}

void
LogRateLimiter::StartSecond(std::uint64_t aSecond)
{
  if (aSecond == m_second) {
    return;
  }
  for (const auto& [code, kind] : m_kinds) {
    if (kind.m_suppressed > 0) {
      m_unreported.push_back({ code, kind.m_suppressed });
    }
  }
  m_kinds.clear();
  m_second = aSecond;
}

} // namespace mulberrysail::telemetry
