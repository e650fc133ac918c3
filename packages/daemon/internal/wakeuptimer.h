#pragma once

#include "core/types/time.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mulberrysail::daemon {

/** Calls a callback for each client at the instant that the client has set,
 * rounded up to a millisecond. Uses one thread for all clients. */
class WakeupTimer
{
public:
  /** Called on the timer's thread, with the timer's lock released. */
  using Callback = std::function<void(std::size_t aClient)>;

  WakeupTimer(std::size_t aClients, Callback aCallback);
  ~WakeupTimer();
  WakeupTimer(const WakeupTimer&) = delete;
  WakeupTimer& operator=(const WakeupTimer&) = delete;

  /** Replaces the instant of the next, single callback for @p aClient; kNever
   * for none. Thread-safe. */
  void Set(std::size_t aClient, core::Instant aWhen);

  /** Stops the thread. After it returns, no callback is running and none will
   * be called. */
  void Stop();

private:
  void Run();
  core::Instant Earliest() const;
  std::vector<std::size_t> CollectDue(core::Instant aNow);

  Callback m_callback;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<core::Instant> m_wakeTimes;
  /** When the sleeping thread will wake up; Instant::min() after a sleep, as
   * the thread is then awake and needs no notification. */
  core::Instant m_sleepEnd = core::kNever;
  bool m_stopped = false;
  std::thread m_thread;
};

} // namespace mulberrysail::daemon
