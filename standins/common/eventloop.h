#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace mulberrysail::standins {

using Micros = std::chrono::microseconds;

/** @return monotonic time of this machine, the same for all its processes. */
Micros
MonotonicNow();

/** @return wall time since the epoch. */
Micros
WallNow();

/** One thread that owns all state of a stand-in: what is posted runs there,
 * one after the other. */
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs @p aTask soon, in the order of the calls. Thread-safe. */
  void Post(Task aTask);

  /** Runs @p aTask after @p aDelay. Only from the loop's own thread or before
   * Run(). */
  void After(Micros aDelay, Task aTask);

  /** Runs @p aTask on the first SIGTERM or SIGINT. */
  void OnTerminate(Task aTask);

  /** Works until Quit(). */
  void Run();

  /** Makes Run() return. Thread-safe. */
  void Quit();

  asio::io_context& Context();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace mulberrysail::standins
