#include "core/tests/fleetsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

/** Three entries, one of which gets 29% of the jobs on 0.12 of a core, while
 * the others have half a core each. */
class ForwardLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardLoadTest);
  CPPUNIT_TEST(CallersOfAThinEntryAreServedLikeOthers);
  CPPUNIT_TEST(WithoutForwardingTheyAreNot);
  CPPUNIT_TEST_SUITE_END();

public:
  void CallersOfAThinEntryAreServedLikeOthers()
  {
    const FleetResult result = FleetSimulation(ThinEntryPlan(true)).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_forwarded > 0);
    const auto [least, most] = std::minmax_element(
      result.m_inTimeByEntry.begin(), result.m_inTimeByEntry.end());
    CPPUNIT_ASSERT_MESSAGE(result.Text(), *most - *least < 0.05);
    CPPUNIT_ASSERT_MESSAGE(result.Text(), *least > 0.9);
    for (const double inTime : result.m_inTimeByKind) {
      CPPUNIT_ASSERT_MESSAGE(result.Text(), inTime > 0.9);
    }
  }

  /** Shows that the load of the other test is too much for the thin entry. */
  void WithoutForwardingTheyAreNot()
  {
    const FleetResult result = FleetSimulation(ThinEntryPlan(false)).Run();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, result.m_forwarded);
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTimeByEntry[0] < 0.5);
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTimeByEntry[1] > 0.9);
  }

private:
  static FleetPlan ThinEntryPlan(bool aForward)
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_entries = 3;
    plan.m_load = 4;
    plan.m_simulatedTime = seconds(14);
    plan.m_entryCores = { 0.12, 0.5, 0.5 };
    plan.m_arrivalShares = { 0.29, 0.355, 0.355 };
    plan.m_entryEventCost = microseconds(180);
    plan.m_entryPolicy.m_forwardJobs = aForward;
    return plan;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardLoadTest);

} // namespace

} // namespace mulberrysail::core
