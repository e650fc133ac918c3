#include "network/internal/delayedcalls.h"

#include <utility>

namespace mulberrysail::network {

DelayedCalls::DelayedCalls(asio::io_context& aIoContext,
                           std::chrono::milliseconds aDelay)
  : m_delay(aDelay)
  , m_timer(aIoContext)
{
}

void
DelayedCalls::Add(std::function<void()> aFunction)
{
  m_calls.push_back(
    { std::chrono::steady_clock::now() + m_delay, std::move(aFunction) });
  if (m_calls.size() == 1) {
    Wait();
  }
}

void
DelayedCalls::Wait()
{
  m_timer.expires_at(m_calls.front().m_due);
  m_timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      MakeDueCalls();
    }
  });
}

void
DelayedCalls::MakeDueCalls()
{
  // I/O events that came after the timer expired have not been read yet.
  const std::chrono::steady_clock::time_point until = m_timer.expiry();
  while (!m_calls.empty() && m_calls.front().m_due <= until) {
    const std::function<void()> function =
      std::move(m_calls.front().m_function);
    m_calls.pop_front();
    function();
  }
  if (!m_calls.empty()) {
    Wait();
  }
}

} // namespace mulberrysail::network
