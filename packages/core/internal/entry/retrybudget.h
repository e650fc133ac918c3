#pragma once

#include <algorithm>
#include <cstdint>

namespace mulberrysail::core {

/** Caps retries as a share of first attempts, so that they can't multiply an
 * overload. A token bucket filled by first attempts. */
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aPercent)
    : m_share(aPercent / 100.0)
  {
  }

  void CountFirstAttempt()
  {
    m_tokens = std::min(m_tokens + m_share, kMaxTokens);
  }

  /** @return whether one more retry is allowed; it is then counted. */
  bool TryConsume()
  {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

private:
  /** What may be saved up in quiet times. */
  static constexpr double kMaxTokens = 100;

  double m_share;
  double m_tokens = 10;
};

} // namespace mulberrysail::core
