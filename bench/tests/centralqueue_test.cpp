#include "bench/internal/centralqueue.h"
#include "bench/internal/profile.h"
#include "bench/internal/summary.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::bench {

namespace {

using std::chrono::milliseconds;

Arrival
RequestAt(int aAtMs, int aRunMs, int aDeadlineMs)
{
  Arrival arrival;
  arrival.m_at = milliseconds(aAtMs);
  arrival.m_deadline = milliseconds(aDeadlineMs);
  TaskLoad task;
  task.m_run = milliseconds(aRunMs);
  arrival.m_tasks.push_back(task);
  return arrival;
}

/** The measuring tool against cases worked out by hand. */
class CentralQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CentralQueueTest);
  CPPUNIT_TEST(OneSlotInOrder);
  CPPUNIT_TEST(ShortestFirstAndDeadline);
  CPPUNIT_TEST(SlowSlotIsTakenLast);
  CPPUNIT_TEST(RatiosByHand);
  CPPUNIT_TEST(LoadIsWhatWasAsked);
  CPPUNIT_TEST_SUITE_END();

public:
  void OneSlotInOrder()
  {
    // Runs 0-100, 100-200, 200-250.
    const std::vector<Arrival> arrivals = { RequestAt(0, 100, 1000),
                                            RequestAt(10, 100, 1000),
                                            RequestAt(20, 50, 1000) };
    const auto responses = ReplayCentralQueue({ { 1.0 } }, arrivals);
    CPPUNIT_ASSERT(responses[0] == milliseconds(100));
    CPPUNIT_ASSERT(responses[1] == milliseconds(190));
    CPPUNIT_ASSERT(responses[2] == milliseconds(230));
  }

  void ShortestFirstAndDeadline()
  {
    // Runs 0-100, then the short one 100-150, and the other is too late.
    const std::vector<Arrival> arrivals = { RequestAt(0, 100, 1000),
                                            RequestAt(10, 100, 200),
                                            RequestAt(20, 50, 1000) };
    const auto responses =
      ReplayCentralQueue({ { 1.0 }, QueueOrder::ShortestFirst }, arrivals);
    CPPUNIT_ASSERT(responses[2] == milliseconds(130));
    CPPUNIT_ASSERT(!responses[1]);
  }

  void SlowSlotIsTakenLast()
  {
    const std::vector<Arrival> arrivals = { RequestAt(0, 100, 1000),
                                            RequestAt(0, 100, 1000) };
    const auto responses = ReplayCentralQueue({ { 0.25, 1.0 } }, arrivals);
    CPPUNIT_ASSERT(responses[0] == milliseconds(100));
    CPPUNIT_ASSERT(responses[1] == milliseconds(400));
  }

  void RatiosByHand()
  {
    // Ideal 100 + 4; answered after 104 and 208: ratios 1 and 2.
    const std::vector<Arrival> arrivals = { RequestAt(0, 100, 1000),
                                            RequestAt(0, 100, 1000),
                                            RequestAt(0, 100, 1000) };
    std::vector<Outcome> outcomes(3);
    outcomes[0].m_answered = true;
    outcomes[0].m_response = milliseconds(104);
    outcomes[1].m_answered = true;
    outcomes[1].m_response = milliseconds(208);
    outcomes[2].m_answered = true;
    outcomes[2].m_status = 503;
    outcomes[2].m_errorKind = "deadline-unreachable";
    outcomes[2].m_response = milliseconds(7);
    const Summary summary = Summarize(arrivals, outcomes, milliseconds(4));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, summary.m_ratioMean, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, summary.m_ratioP99, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7, summary.m_refusalP99Ms, 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), summary.m_refused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), summary.m_completeInTime);
  }

  void LoadIsWhatWasAsked()
  {
    Profile profile = *FindProfile("steady70");
    profile.m_length = std::chrono::minutes(60);
    const FleetSize fleet;
    core::Duration work{};
    for (const Arrival& arrival : MakeArrivals(profile, fleet, 1)) {
      work += arrival.m_tasks.front().m_run;
    }
    const double slots = fleet.m_endpoints * fleet.m_slots;
    const double load = static_cast<double>(work.count()) /
                        static_cast<double>(profile.m_length.count()) / slots;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7, load, 0.02);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CentralQueueTest);

} // namespace

} // namespace mulberrysail::bench
