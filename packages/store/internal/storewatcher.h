#pragma once

#include "store/internal/backoff.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace mulberrysail::store {

struct WatcherHooks
{
  /** Receives all values under the prefix, at first and whenever a watch has
   * ended and the values were read again. */
  std::function<void(const StoreRead&)> m_onSnapshot;
  /** Receives a changed value; a revision of 0 means that the key was
   * deleted. */
  std::function<void(const StoredValue&)> m_onChange;
  /** The store has become unavailable, with the cause, or available again. */
  std::function<void(bool aAvailable, const std::string& aCause)>
    m_onAvailabilityChange;
  /** A watch has ended; the values are read again after a delay. */
  std::function<void(const std::string& aCause)> m_onWatchEnded = nullptr;
};

/** Watches the keys under a prefix: reads them, watches from the next revision
 * on, and restarts with a read after a delay when the watch has ended. At any
 * time at most one call to the store or one timer is pending, so its hooks
 * never run concurrently. */
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
  StoreWatcher(IStore& aStore,
               ITimer& aTimer,
               std::string aPrefix,
               std::uint32_t aSeed,
               WatcherHooks aHooks);

  void Start();

  /** Stops calling hooks; a hook that is already running may still finish after
   * this has returned. */
  void Stop();

private:
  void OnRead(const core::Result<StoreRead>& aRead);
  void OnWatchEnded(const core::Error& aError);
  void ScheduleRestart();
  void SetAvailable(bool aAvailable, const std::string& aCause);

  IStore& m_store;
  ITimer& m_timer;
  const std::string m_prefix;
  Backoff m_backoff;
  WatcherHooks m_hooks;
  std::atomic<bool> m_stopped{ false };
  bool m_available = true;
  core::Instant m_watchStart{};
};

} // namespace mulberrysail::store
