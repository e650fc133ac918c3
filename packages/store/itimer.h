#pragma once

#include "core/types/time.h"

#include <functional>
#include <memory>

namespace mulberrysail::store {

/** Tells the time and calls back later. Thread-safe. */
class ITimer
{
public:
  virtual ~ITimer() = default;

  virtual core::Instant Now() const = 0;

  /** Calls @p aCallback once after @p aDelay, from the timer's thread; it must
   * not block. Callbacks still waiting when the timer ends are dropped. */
  virtual void After(core::Duration aDelay,
                     std::function<void()> aCallback) = 0;
};

/** @return a timer on a thread of its own. */
std::unique_ptr<ITimer>
StartTimer();

} // namespace mulberrysail::store
