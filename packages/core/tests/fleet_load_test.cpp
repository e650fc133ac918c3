#include "core/tests/fleetsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/** At this load, the job mix takes 72% of the cores of the default fleet. */
constexpr double kModerateLoad = 6;
constexpr double kModerateShare = 0.72;

/** Twelve entries that share the agents, each with an uneven part of the
 * callers and a view of the agents that is some messages old. */
class FleetLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetLoadTest);
  CPPUNIT_TEST(ModerateLoadIsServedInTime);
  CPPUNIT_TEST(NoAgentIsOvercommitted);
  CPPUNIT_TEST(TasksStayInTheZoneWhileItHasCapacity);
  CPPUNIT_TEST(ThinEntriesAreNotFloodedByMessages);
  CPPUNIT_TEST(WorkersOfUnequalSpeedServeInTimeAtHalfLoad);
  CPPUNIT_TEST(WorkersOfUnequalSpeedServeInTimeAtHighLoad);
  CPPUNIT_TEST(EqualWorkersServeAsWithoutLearnedSpeeds);
  CPPUNIT_TEST_SUITE_END();

public:
  void ModerateLoadIsServedInTime()
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_load = kModerateLoad;
    const FleetResult result = FleetSimulation(plan).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTime > 0.98);
  }

  void NoAgentIsOvercommitted()
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_load = 1.5 * kModerateLoad;
    const FleetResult result = FleetSimulation(plan).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_peakUse <= 1);
  }

  /** Of evenly spread offers, two thirds would leave their zone. */
  void TasksStayInTheZoneWhileItHasCapacity()
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_load = kModerateLoad;
    const FleetResult result = FleetSimulation(plan).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(),
                           result.m_offersToOtherZones < result.m_offers / 5);
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTime > 0.98);
  }

  /** On a tenth of a core, an entry handles about 1,000 messages a second. If
   * waiting entries are notified of all free capacity, they fall behind at 86%
   * of the workers' capacity. */
  void ThinEntriesAreNotFloodedByMessages()
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_load = 1.2 * kModerateLoad;
    plan.m_entryEventCost = milliseconds(1);
    plan.m_agentEventCost = microseconds(700);
    const FleetResult result = FleetSimulation(plan).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.m_inTime > 0.95);
    CPPUNIT_ASSERT_MESSAGE(
      result.Text(), result.m_messagesByType.at("load") < result.m_starts / 2);
  }

  /** Tasks that run 7 times as long as the others of their job pass the
   * callers' deadline on slow workers, which are not needed at this load. */
  void WorkersOfUnequalSpeedServeInTimeAtHalfLoad()
  {
    CheckUnequalWorkers(0.5, 0.85);
  }

  /** All workers are needed, and the fast ones do more of the work. */
  void WorkersOfUnequalSpeedServeInTimeAtHighLoad()
  {
    CheckUnequalWorkers(0.85, 0.815);
  }

  /** Errors of the learned speeds must not take tasks out of their zone. */
  void EqualWorkersServeAsWithoutLearnedSpeeds()
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_load = 1.2 * kModerateLoad;
    const FleetResult without = FleetSimulation(plan).Run();
    plan.m_entryPolicy.m_learnTaskSpeed = true;
    const FleetResult with = FleetSimulation(plan).Run();
    const std::string text = with.Text() + " without: " + without.Text();
    CPPUNIT_ASSERT_MESSAGE(text, with.m_inTime > without.m_inTime - 0.01);
    CPPUNIT_ASSERT_MESSAGE(
      text, with.m_offersToOtherZones * 10 < without.m_offersToOtherZones * 11);
  }

private:
  /**
   * Runs agents whose tasks take 0.6, 1.0 and 1.6 times as long, by turns in
   * each zone; 3% of the tasks run 7 times as long as the others of their job.
   * @param aShare core time of all tasks at the factor 1, as a share of the
   * cores.
   */
  static FleetResult RunUnequal(double aShare, bool aLearn)
  {
    FleetPlan plan = DefaultFleetPlan();
    plan.m_runTimeFactors = { 0.6, 1.0, 1.6 };
    plan.m_longTaskShare = 0.03;
    plan.m_longTaskFactor = 7;
    const double meanLength =
      1 + plan.m_longTaskShare * (plan.m_longTaskFactor - 1);
    plan.m_load = kModerateLoad / kModerateShare * aShare / meanLength;
    plan.m_simulatedTime = std::chrono::seconds(24);
    plan.m_entryPolicy.m_learnTaskSpeed = aLearn;
    return FleetSimulation(plan).Run();
  }

  /**
   * Compares a fleet of unequal workers with and without learned speeds.
   * @param aShare load as a share of the cores.
   * @param aBound least share of the long jobs in time with learned speeds.
   */
  static void CheckUnequalWorkers(double aShare, double aBound)
  {
    constexpr std::size_t kShort = 0;
    constexpr std::size_t kLong = 1;
    constexpr std::size_t kPlain = 2;
    const FleetResult with = RunUnequal(aShare, true);
    const FleetResult without = RunUnequal(aShare, false);
    const std::string text = with.Text() + " without: " + without.Text();
    const std::array shares = with.m_inTimeByKind;
    const std::array before = without.m_inTimeByKind;
    CPPUNIT_ASSERT_MESSAGE(text, shares[kShort] > 0.999);
    CPPUNIT_ASSERT_MESSAGE(text, shares[kPlain] > 0.99);
    CPPUNIT_ASSERT_MESSAGE(text, shares[kPlain] > before[kPlain]);
    CPPUNIT_ASSERT_MESSAGE(text, shares[kLong] > aBound);
    CPPUNIT_ASSERT_MESSAGE(text, shares[kLong] > before[kLong] + 0.02);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLoadTest);

} // namespace

} // namespace mulberrysail::core
