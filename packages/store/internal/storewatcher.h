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
  /** All values under the prefix; again after each watch that ended. */
  std::function<void(const StoreRead&)> m_onSnapshot;
  /** One value changed; a revision of 0 means that it is gone. */
  std::function<void(const StoredValue&)> m_onChange;
  /** The store stopped answering, or answers again. */
  std::function<void(bool aAvailable)> m_onAvailabilityChange;
};

/** Follows the keys under a prefix: reads them, watches from there, and begins
 * again after a delay when the watch has ended. It has one call to the store
 * or one timer under way at any time, so its hooks never run at once. */
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
  StoreWatcher(IStore& aStore,
               ITimer& aTimer,
               std::string aPrefix,
               std::uint32_t aSeed,
               WatcherHooks aHooks);

  void Start();

  /** No hook is called any more, but from a call that is under way. */
  void Stop();

private:
  void OnRead(const core::Result<StoreRead>& aRead);
  void OnWatchEnded();
  void ScheduleRestart();
  void SetAvailable(bool aAvailable);

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
