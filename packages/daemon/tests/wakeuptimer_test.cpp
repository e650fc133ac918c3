#include "daemon/internal/wakeuptimer.h"

#include "daemon/internal/clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>

namespace mulberrysail::daemon {

namespace {

constexpr std::size_t kClients = 2;

class WakeupTimerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WakeupTimerTest);
  CPPUNIT_TEST(WakesEachClientOnce);
  CPPUNIT_TEST(EarlierInstantReplacesLater);
  CPPUNIT_TEST(CallbackMaySetAgain);
  CPPUNIT_TEST(IncarnationsIncrease);
  CPPUNIT_TEST_SUITE_END();

public:
  void WakesEachClientOnce()
  {
    std::array<std::promise<core::Instant>, kClients> woken;
    WakeupTimer timer(kClients, [&](std::size_t aClient) {
      woken.at(aClient).set_value(Now());
    });
    const core::Instant second = Now() + std::chrono::milliseconds(20);
    timer.Set(1, second);
    timer.Set(0, Now());
    woken[0].get_future().get();
    CPPUNIT_ASSERT(woken[1].get_future().get() >= second);
  }

  void EarlierInstantReplacesLater()
  {
    std::promise<void> woken;
    WakeupTimer timer(1, [&](std::size_t) { woken.set_value(); });
    timer.Set(0, Now() + std::chrono::hours(1));
    timer.Set(0, Now());
    woken.get_future().get();
  }

  void CallbackMaySetAgain()
  {
    constexpr int kTimes = 3;
    int calls = 0;
    std::promise<void> done;
    WakeupTimer timer(1, [&](std::size_t) {
      if (++calls == kTimes) {
        done.set_value();
        return;
      }
      timer.Set(0, Now());
    });
    timer.Set(0, Now());
    done.get_future().get();
    timer.Stop();
    CPPUNIT_ASSERT_EQUAL(kTimes, calls);
  }

  void IncarnationsIncrease()
  {
    constexpr std::chrono::microseconds kResolution{ 256 };
    const core::Incarnation first = MakeIncarnation();
    const core::Instant start = Now();
    while (Now() < start + kResolution) {
    }
    CPPUNIT_ASSERT(MakeIncarnation() > first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WakeupTimerTest);

} // namespace

} // namespace mulberrysail::daemon
