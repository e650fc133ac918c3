#pragma once

#include "core/types/time.h"

#include <functional>
#include <memory>

namespace mulberrysail::store {

/** A monotonic clock with delayed callbacks. Thread-safe. */
class ITimer
{
public:
  virtual ~ITimer() = default;

  virtual core::Instant Now() const = 0;

  /** Calls @p aCallback once after @p aDelay, on the timer's thread.
   * @param aCallback must not block. Callbacks still pending when the timer is
   * destroyed are discarded. */
  virtual void After(core::Duration aDelay,
                     std::function<void()> aCallback) = 0;
};

/** @return a timer that runs on its own thread. */
std::unique_ptr<ITimer>
StartTimer();

} // namespace mulberrysail::store
