#pragma once

#include "core/types/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace mulberrysail::core {

/** The virtual clock of one schedule and its pending actions. */
class ScheduleClock
{
public:
  using Action = std::function<void()>;

  Instant Now() const { return m_now; }

  /** Runs an action at @p aWhen, or now if that time has passed. */
  void At(Instant aWhen, Action aAction)
  {
    m_pending.push(
      { aWhen < m_now ? m_now : aWhen, m_next++, std::move(aAction) });
  }

  void After(Duration aDelay, Action aAction)
  {
    At(m_now + aDelay, std::move(aAction));
  }

  /**
   * Advances to the next action and runs it.
   * @return false if no action is due by @p aEnd; the clock is then set
   * to @p aEnd.
   */
  bool Step(Instant aEnd)
  {
    if (m_pending.empty() || m_pending.top().m_when > aEnd) {
      m_now = aEnd;
      return false;
    }
    Pending next = std::move(const_cast<Pending&>(m_pending.top()));
    m_pending.pop();
    m_now = next.m_when;
    next.m_action();
    return true;
  }

private:
  struct Pending
  {
    Instant m_when;
    std::uint64_t m_order = 0;
    Action m_action;

    bool operator<(const Pending& aOther) const
    {
      return m_when != aOther.m_when ? m_when > aOther.m_when
                                     : m_order > aOther.m_order;
    }
  };

  Instant m_now{ std::chrono::seconds(1000) };
  std::uint64_t m_next = 0;
  std::priority_queue<Pending> m_pending;
};

} // namespace mulberrysail::core
