#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>

namespace mulberrysail::network {

/** Makes calls after a delay, in the order in which they were added. May be
 * used on the thread of its I/O context only. */
class DelayedCalls
{
public:
  DelayedCalls(asio::io_context& aIoContext, std::chrono::milliseconds aDelay);

  /** Calls @p aFunction when the delay has passed, and after all I/O events
   * that were there by then. */
  void Add(std::function<void()> aFunction);

private:
  struct Call
  {
    std::chrono::steady_clock::time_point m_due;
    std::function<void()> m_function;
  };

  /** Waits for the first call to become due. */
  void Wait();
  void MakeDueCalls();

  const std::chrono::milliseconds m_delay;
  asio::steady_timer m_timer;
  std::deque<Call> m_calls;
};

} // namespace mulberrysail::network
