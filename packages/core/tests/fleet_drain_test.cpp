#include "core/tests/fleetsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::seconds;

/** A share of jobs that chance may account for. */
constexpr double kTolerance = 0.01;

/** A third of the agents is drained as a burst comes, and returns with workers
 * that run tasks at a third of their speed for 3 s. */
class FleetDrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetDrainTest);
  CPPUNIT_TEST(NothingStartsInTheDrainedZone);
  CPPUNIT_TEST(CallersOfAllKindsAreServed);
  CPPUNIT_TEST_SUITE_END();

  static FleetPlan DrainPlan()
  {
    FleetPlan plan = DefaultFleetPlan();
    // The burst takes 72% of the cores that the drain leaves.
    plan.m_load = 2;
    plan.m_burstFactor = 2;
    plan.m_burstFrom = seconds(4);
    plan.m_burstUntil = seconds(10);
    plan.m_simulatedTime = seconds(14);
    plan.m_drain = { "zone1", seconds(4), seconds(8), seconds(3), 3 };
    return plan;
  }

public:
  /** Guards against starts in an evacuated zone while entries learn of the
   * drain at different times, and against a zone that stays out of use. */
  void NothingStartsInTheDrainedZone()
  {
    const FleetResult result = FleetSimulation(DrainPlan()).Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, result.m_startsWhileDrained);
    CPPUNIT_ASSERT(result.m_startsBeforeDrain > 100);
    CPPUNIT_ASSERT(result.m_startsAfterDrain > 100);
  }

  /** Guards against jobs that fail because of the drain, and against tasks on
   * slow workers while others are idle. Entries that ignore the drain and the
   * warm-up lose 7 to 10% of the jobs of each kind. */
  void CallersOfAllKindsAreServed()
  {
    FleetPlan undrained = DrainPlan();
    undrained.m_drain = {};
    const FleetResult expected = FleetSimulation(undrained).Run();
    const FleetResult result = FleetSimulation(DrainPlan()).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTime > 0.98);
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      CPPUNIT_ASSERT_MESSAGE(result.Text() + " undrained: " + expected.Text(),
                             result.m_inTimeByKind.at(kind) >=
                               expected.m_inTimeByKind.at(kind) - kTolerance);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDrainTest);

} // namespace

} // namespace mulberrysail::core
