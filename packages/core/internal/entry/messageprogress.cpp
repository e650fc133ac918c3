#include "core/internal/entry/messageprogress.h"

#include <algorithm>
#include <chrono>

namespace mulberrysail::core {

namespace {

/** Exceeds the time for which peers may leave messages unanswered. */
constexpr Duration kRetention = std::chrono::seconds(5);
/** Longest interval between two statements while a message is unanswered; after
 * a longer one, the process stood still. */
constexpr Duration kMaxInterval = std::chrono::milliseconds(300);

} // namespace

void
MessageProgress::Add(Instant aNow, Instant aHandledUntil)
{
  m_handledUntil = std::min(aHandledUntil, aNow);
  m_delay = aNow - *m_handledUntil;
  const Duration interval =
    m_delays.empty() ? Duration::zero() : aNow - m_delays.back().m_at;
  const Duration delay =
    interval > kMaxInterval ? std::max(interval, m_delay) : m_delay;
  while (!m_delays.empty() && m_delays.back().m_delay <= delay) {
    m_delays.pop_back();
  }
  m_delays.push_back({ aNow, delay });
  while (m_delays.front().m_at < aNow - kRetention) {
    m_delays.pop_front();
  }
}

Duration
MessageProgress::Delay() const
{
  return m_delay;
}

Duration
MessageProgress::UnansweredFor(Instant aNow, Instant aQueuedAt) const
{
  if (!m_handledUntil) {
    return aNow - aQueuedAt;
  }
  const std::deque<Statement>::const_iterator longest = std::find_if(
    m_delays.begin(), m_delays.end(), [&](const Statement& aStatement) {
      return aStatement.m_at >= aQueuedAt;
    });
  const Duration sentAfter =
    longest == m_delays.end() ? Duration::zero() : longest->m_delay;
  const Duration read = *m_handledUntil - aQueuedAt - sentAfter;
  return std::max(read, Duration::zero());
}

} // namespace mulberrysail::core
