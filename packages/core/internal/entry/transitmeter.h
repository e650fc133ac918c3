#pragma once

#include "core/types/time.h"

#include <algorithm>
#include <chrono>

namespace mulberrysail::core {

/** Estimates how long messages of one peer were in transit, although its clock
 * is not synchronized: the fastest message of the last seconds counts as
 * delivered at once. */
class TransitMeter
{
public:
  /** @return the estimated transit time of a message, at most the true one.
   * @param aSentAt the time of sending on the sender's clock. */
  Duration Add(Instant aNow, Instant aSentAt)
  {
    const Duration difference = aNow - aSentAt;
    if (aNow - m_windowStart >= 2 * kWindow) {
      m_previous = Duration::max();
      m_current = Duration::max();
      m_windowStart = aNow;
    } else if (aNow - m_windowStart >= kWindow) {
      m_previous = m_current;
      m_current = Duration::max();
      m_windowStart += kWindow;
    }
    m_current = std::min(m_current, difference);
    return difference - std::min(m_current, m_previous);
  }

private:
  /** Two clocks drift apart by less than 2 ms in two windows. */
  static constexpr Duration kWindow = std::chrono::seconds(10);

  Instant m_windowStart = Instant(-2 * kWindow);
  Duration m_current = Duration::max();
  Duration m_previous = Duration::max();
};

} // namespace mulberrysail::core
