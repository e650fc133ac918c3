#include "core/internal/entry/arrivalmeter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(4);
constexpr Duration kGap = milliseconds(10);
/** Work of 20 ms every 10 ms keeps two slots busy. */
constexpr Duration kRun = milliseconds(20);
constexpr double kBusySlots = 2;

class ArrivalMeterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ArrivalMeterTest);
  CPPUNIT_TEST(FirstArrivalsAreAveragedOverTheTimeSinceThen);
  CPPUNIT_TEST(NothingArrivedMeansNoBusySlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void FirstArrivalsAreAveragedOverTheTimeSinceThen()
  {
    ArrivalMeter meter(kWindow);
    Instant now(std::chrono::hours(1));
    for (const Duration measureAfter :
         { milliseconds(500), milliseconds(20000) }) {
      const Instant end = now + measureAfter;
      while (now < end) {
        meter.Add(now, kRun);
        now += kGap;
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
        kBusySlots, meter.AllBusySlots(now), kBusySlots / 20);
    }
  }

  void NothingArrivedMeansNoBusySlots()
  {
    const ArrivalMeter meter(kWindow);
    CPPUNIT_ASSERT_EQUAL(0.0, meter.AllBusySlots(Instant(seconds(1))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalMeterTest);

} // namespace

} // namespace mulberrysail::core
