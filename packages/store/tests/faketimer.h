#pragma once

#include "store/itimer.h"

#include <map>
#include <utility>

namespace mulberrysail::store::tests {

/** A timer whose clock is advanced by the test. */
class FakeTimer : public ITimer
{
public:
  core::Instant Now() const override { return m_now; }

  void After(core::Duration aDelay, std::function<void()> aCallback) override
  {
    m_pending.emplace(m_now + aDelay, std::move(aCallback));
  }

  /** Advances the clock and runs each callback that becomes due at its due
   * time. */
  void Advance(core::Duration aTime)
  {
    const core::Instant end = m_now + aTime;
    while (!m_pending.empty() && m_pending.begin()->first <= end) {
      const auto first = m_pending.begin();
      m_now = first->first;
      const std::function<void()> callback = std::move(first->second);
      m_pending.erase(first);
      callback();
    }
    m_now = end;
  }

private:
  core::Instant m_now{};
  std::multimap<core::Instant, std::function<void()>> m_pending;
};

} // namespace mulberrysail::store::tests
