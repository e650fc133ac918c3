#pragma once

#include <chrono>
#include <functional>

namespace mulberrysail::testsupport {

/** Asks @p aCondition again and again until it holds.
 * @return whether it held within @p aTimeout. */
bool
WaitUntil(std::chrono::milliseconds aTimeout,
          const std::function<bool()>& aCondition);

} // namespace mulberrysail::testsupport
