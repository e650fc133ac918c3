#pragma once

#include "core/types/time.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mulberrysail::daemon {

/** One thread that wakes each of several clients at an instant of theirs, or
 * up to a millisecond later. */
class WakeupTimer
{
public:
  /** Called on the timer's thread, with no lock of the timer held. */
  using Callback = std::function<void(std::size_t aClient)>;

  WakeupTimer(std::size_t aClients, Callback aCallback);
  ~WakeupTimer();
  WakeupTimer(const WakeupTimer&) = delete;
  WakeupTimer& operator=(const WakeupTimer&) = delete;

  /** Replaces the instant at which @p aClient is woken once; kNever for not
   * at all. Thread-safe. */
  void Set(std::size_t aClient, core::Instant aWhen);

  /** Ends the thread. No callback is running or comes afterwards. */
  void Stop();

private:
  void Run();
  core::Instant Earliest() const;
  std::vector<std::size_t> CollectDue(core::Instant aNow);

  Callback m_callback;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<core::Instant> m_wakes;
  /** Until when the thread sleeps. */
  core::Instant m_sleepEnd = core::kNever;
  bool m_stopped = false;
  std::thread m_thread;
};

} // namespace mulberrysail::daemon
