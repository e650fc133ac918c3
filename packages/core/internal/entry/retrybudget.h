#pragma once

#include <algorithm>
#include <cstdint>

namespace mulberrysail::core {

/** Limits retries to a share of first attempts, so that they cannot amplify an
 * overload. A token bucket that first attempts fill. */
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

  /** Consumes one token. @return false if the budget is exhausted. */
  bool TryConsume()
  {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

private:
  /** Limit of the tokens that accumulate while there are few retries. */
  static constexpr double kMaxTokens = 100;

  double m_share;
  double m_tokens = 10;
};

} // namespace mulberrysail::core
