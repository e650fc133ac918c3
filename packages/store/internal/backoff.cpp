#include "store/internal/backoff.h"

#include <algorithm>

namespace mulberrysail::store {

namespace {

constexpr core::Duration kFirst = std::chrono::milliseconds(100);

} // namespace

Backoff::Backoff(std::uint32_t aSeed, core::Duration aLimit)
  : m_random(aSeed)
  , m_last(aLimit)
  , m_limit(kFirst)
{
}

core::Duration
Backoff::Next()
{
  std::uniform_int_distribution<core::Duration::rep> spread(m_limit.count() / 2,
                                                            m_limit.count());
  const core::Duration delay(spread(m_random));
  m_limit = std::min(2 * m_limit, m_last);
  return delay;
}

void
Backoff::Reset()
{
  m_limit = kFirst;
}

} // namespace mulberrysail::store
