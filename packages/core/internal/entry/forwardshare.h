#pragma once

#include "core/types/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace mulberrysail::core {

/** The share of arriving jobs that an entry forwards to its peers, derived from
 * samples of its processor usage. */
class ForwardShare
{
public:
  /** @param aUsed used share of the allowed processor time, 0 to 1.
   * @param aLateness how late the sampling timer was. */
  void OnSample(double aUsed, Duration aLateness)
  {
    if (aUsed > kBusyAbove || aLateness > kLateAbove) {
      m_percent = std::min(m_percent + kRisePercent, kMaxPercent);
    } else if (aUsed < kIdleBelow) {
      m_percent -= std::min(m_percent, kFallPercent);
    }
  }

  /** @return the share in percent, 0 to 90. */
  std::uint32_t Percent() const { return m_percent; }

private:
  static constexpr double kBusyAbove = 0.6;
  static constexpr double kIdleBelow = 0.4;
  static constexpr Duration kLateAbove = std::chrono::milliseconds(20);
  static constexpr std::uint32_t kRisePercent = 10;
  static constexpr std::uint32_t kFallPercent = 5;
  /** Some jobs are always kept, so that the entry still learns run times. */
  static constexpr std::uint32_t kMaxPercent = 90;

  std::uint32_t m_percent = 0;
};

} // namespace mulberrysail::core
