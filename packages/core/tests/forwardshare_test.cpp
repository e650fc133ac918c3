#include "core/internal/entry/forwardshare.h"
#include "core/internal/entry/transitmeter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Guards the rules that keep a busy entry from forwarding too few jobs, and an
 * idle one from forwarding for longer than necessary. */
class ForwardShareTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardShareTest);
  CPPUNIT_TEST(StartsAtZeroAndRisesWhileBusy);
  CPPUNIT_TEST(LateTimerCountsAsBusy);
  CPPUNIT_TEST(FallsByHalfTheRiseWhileIdle);
  CPPUNIT_TEST(StaysBetweenTheThresholds);
  CPPUNIT_TEST(TransitIsMeasuredWithUnequalClocks);
  CPPUNIT_TEST(TransitFollowsClocksThatDrift);
  CPPUNIT_TEST_SUITE_END();

public:
  void StartsAtZeroAndRisesWhileBusy()
  {
    ForwardShare share;
    CPPUNIT_ASSERT_EQUAL(0U, share.Percent());
    share.OnSample(0.61, {});
    CPPUNIT_ASSERT_EQUAL(10U, share.Percent());
    for (int i = 0; i < 20; ++i) {
      share.OnSample(1, {});
    }
    CPPUNIT_ASSERT_EQUAL(90U, share.Percent());
  }

  void LateTimerCountsAsBusy()
  {
    ForwardShare share;
    share.OnSample(0, milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(0U, share.Percent());
    share.OnSample(0, milliseconds(21));
    CPPUNIT_ASSERT_EQUAL(10U, share.Percent());
  }

  void FallsByHalfTheRiseWhileIdle()
  {
    ForwardShare share;
    share.OnSample(1, {});
    share.OnSample(0.39, {});
    CPPUNIT_ASSERT_EQUAL(5U, share.Percent());
    share.OnSample(0, {});
    share.OnSample(0, {});
    CPPUNIT_ASSERT_EQUAL(0U, share.Percent());
  }

  void StaysBetweenTheThresholds()
  {
    ForwardShare share;
    share.OnSample(1, {});
    share.OnSample(0.4, {});
    share.OnSample(0.6, {});
    CPPUNIT_ASSERT_EQUAL(10U, share.Percent());
  }

  void TransitIsMeasuredWithUnequalClocks()
  {
    TransitMeter meter;
    const Instant here(seconds(1000));
    const Instant there(seconds(5));
    CPPUNIT_ASSERT(meter.Add(here, there) == Duration::zero());
    CPPUNIT_ASSERT(meter.Add(here + seconds(2), there + seconds(1)) ==
                   seconds(1));
    CPPUNIT_ASSERT(meter.Add(here + seconds(3), there + seconds(3)) ==
                   Duration::zero());
  }

  void TransitFollowsClocksThatDrift()
  {
    TransitMeter meter;
    const Instant here(seconds(1000));
    const Instant there(seconds(5));
    Duration transit{};
    // One clock loses 1 ms in every second for an hour.
    for (int i = 0; i < 3600; ++i) {
      transit = meter.Add(here + seconds(i), there + i * milliseconds(999));
    }
    CPPUNIT_ASSERT(transit <= milliseconds(20));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardShareTest);

} // namespace

} // namespace mulberrysail::core
