#include "store/internal/backoff.h"

#include <algorithm>

namespace mulberrysail::store {

namespace {

constexpr core::Duration kInitialDelay = std::chrono::milliseconds(100);

} // namespace

Backoff::Backoff(std::uint32_t aSeed, core::Duration aMaxDelay)
  : m_random(aSeed)
  , m_maxDelay(aMaxDelay)
  , m_currentLimit(kInitialDelay)
{
}

core::Duration
Backoff::Next()
{
  std::uniform_int_distribution<core::Duration::rep> distribution(
    m_currentLimit.count() / 2, m_currentLimit.count());
  const core::Duration delay(distribution(m_random));
  m_currentLimit = std::min(2 * m_currentLimit, m_maxDelay);
  return delay;
}

void
Backoff::Reset()
{
  m_currentLimit = kInitialDelay;
}

} // namespace mulberrysail::store
