#include "support/waituntil.h"

#include <thread>

namespace mulberrysail::testsupport {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{ 5 };

} // namespace

bool
WaitUntil(std::chrono::milliseconds aTimeout,
          const std::function<bool()>& aCondition)
{
  const std::chrono::steady_clock::time_point deadline =
    std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

} // namespace mulberrysail::testsupport
