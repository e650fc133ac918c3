#include "standins/common/departure.h"

#include <utility>

namespace mulberrysail::standins {

namespace {

constexpr Micros kCheckPeriod = std::chrono::milliseconds(20);
/** Work sent before the leaving was known may still be on its way. */
constexpr Micros kQuietTime = std::chrono::milliseconds(200);
constexpr Micros kAnnounceLimit = std::chrono::seconds(3);

} // namespace

Departure::Departure(EventLoop& aLoop, std::function<bool()> aIdle)
  : m_loop(aLoop)
  , m_idle(std::move(aIdle))
{
}

void
Departure::Begin()
{
  if (m_begun) {
    return;
  }
  m_begun = true;
  m_acknowledgedRun = false;
  m_giveUpAt = MonotonicNow() + kAnnounceLimit;
  m_idleSince = MonotonicNow();
  Check();
}

void
Departure::Check()
{
  const Micros now = MonotonicNow();
  const bool known = m_acknowledgedRun || now >= m_giveUpAt;
  if (!known || !m_idle()) {
    m_idleSince = now;
  }
  if (now - m_idleSince >= kQuietTime) {
    m_loop.Quit();
    return;
  }
  m_loop.After(kCheckPeriod, [this] { Check(); });
}

} // namespace mulberrysail::standins
