#include "core/tests/fleetsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNeedSpread = 0.1;
/** One entry of eight gets this share of the arrivals. */
constexpr double kLargestShare = 0.29;
constexpr std::array<std::uint64_t, 4> kSeeds = { 11, 111, 211, 311 };

/** Bursts and uneven arrivals on 8 entries and 50 agents in 4 zones. */
class UnevenLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnevenLoadTest);
  CPPUNIT_TEST(MostOffersInABurstSucceed);
  CPPUNIT_TEST(EntryWithMostArrivalsIsServedLikeTheOthers);
  CPPUNIT_TEST_SUITE_END();

  static FleetPlan BurstPlan()
  {
    FleetPlan plan = FourZonePlan(0.6);
    plan.m_needSpread = kNeedSpread;
    plan.m_arrivalShares = std::vector<double>(plan.m_entries, 1);
    plan.m_burstFactor = 2;
    plan.m_burstFrom = plan.m_windowFrom = seconds(3);
    plan.m_burstUntil = plan.m_windowUntil = seconds(5);
    plan.m_entryPolicy.m_sharedDemand = true;
    return plan;
  }

public:
  /** In a burst that takes 1.2 of the cores, entries that wait for the same
   * agents offered tasks for the same free capacity: 0.78 of the offers
   * succeeded. */
  void MostOffersInABurstSucceed()
  {
    FleetPlan plan = BurstPlan();
    const FleetResult before = FleetSimulation(plan).Run();
    plan.m_agentPolicy.m_capacityGrant = milliseconds(5);
    const FleetResult result = FleetSimulation(plan).Run();
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.AcceptedInWindow() > 0.85);
    CPPUNIT_ASSERT_MESSAGE(before.Text(), before.AcceptedInWindow() < 0.85);
    CPPUNIT_ASSERT_MESSAGE(result.Text(),
                           result.m_messages < before.m_messages);
  }

  /** An entry with 0.29 of the arrivals took the work of all entries for eight
   * times its own and refused what the others admitted: its share in time was
   * 0.14 below that of the others when the load takes 1.1 of the cores. */
  void EntryWithMostArrivalsIsServedLikeTheOthers()
  {
    FleetPlan plan = FourZonePlan(1.1);
    plan.m_needSpread = kNeedSpread;
    plan.m_arrivalShares.assign(plan.m_entries,
                                (1 - kLargestShare) /
                                  static_cast<double>(plan.m_entries - 1));
    plan.m_arrivalShares[0] = kLargestShare;
    plan.m_entryPolicy.m_sharedDemand = true;
    std::vector<double> jobs(plan.m_entries);
    std::vector<double> inTime(plan.m_entries);
    std::string text;
    for (const std::uint64_t seed : kSeeds) {
      plan.m_seed = seed;
      const FleetResult result = FleetSimulation(plan).Run();
      for (std::size_t i = 0; i < plan.m_entries; ++i) {
        const double count = static_cast<double>(result.m_jobsByEntry[i]);
        jobs[i] += count;
        inTime[i] += count * result.m_inTimeByEntry[i];
      }
      text += result.Text() + "\n";
    }
    const double allJobs = std::accumulate(jobs.begin(), jobs.end(), 0.0);
    const double allInTime = std::accumulate(inTime.begin(), inTime.end(), 0.0);
    for (std::size_t i = 0; i < plan.m_entries; ++i) {
      const double others = (allInTime - inTime[i]) / (allJobs - jobs[i]);
      CPPUNIT_ASSERT_MESSAGE(text, inTime[i] / jobs[i] > others - 0.05);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenLoadTest);

} // namespace

} // namespace mulberrysail::core
