#include "core/tests/drainfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Workers that are slow after their start. */
class EntryWarmUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryWarmUpTest);
  CPPUNIT_TEST(WorkerGetsTasksOnlyIfNoOtherCapacityIsFree);
  CPPUNIT_TEST(OtherCapacityIsFoundInALargeFleet);
  CPPUNIT_TEST(HalfOfTheCoresCount);
  CPPUNIT_TEST(RunTimesAreNotLearned);
  CPPUNIT_TEST_SUITE_END();

  /** @return the expected run time that the entry offers after 30 runs,
   * each of ten times the declared run time. */
  static Duration ExpectedAfterSlowRuns(bool aWarmingUp)
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1");
    for (int i = 0; i < 30; ++i) {
      fixture.Submit("job" + std::to_string(i), 1, seconds(9));
      ReportBatch batch;
      AttemptReport report;
      report.m_attempt = fixture.Offers().back().m_offer.m_attempt;
      report.m_fate = AttemptFate::Completed;
      report.m_ranFor = seconds(1);
      report.m_warmingUp = aWarmingUp;
      batch.m_reports.push_back(report);
      fixture.Receive(fixture.Offers().back().m_agent, std::move(batch));
      fixture.ReportLoad(fixture.Offers().back().m_agent, 0);
    }
    fixture.Submit("last", 1, seconds(9));
    return fixture.Offers().back().m_offer.m_expectedRun;
  }

public:
  /** Guards against tasks that run slowly although fast workers are idle. */
  void WorkerGetsTasksOnlyIfNoOtherCapacityIsFree()
  {
    DrainFixture fixture;
    const ProcessId cold = fixture.AddZoneAgent("a1", "z1", {}, true);
    const ProcessId warm = fixture.AddZoneAgent("a2", "z2");
    fixture.Submit("job", 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, fixture.CountOffersTo(warm));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.CountOffersTo(cold));
  }

  /** The entry compares a sample of 32 agents. */
  void OtherCapacityIsFoundInALargeFleet()
  {
    DrainFixture fixture;
    for (int i = 0; i < 200; ++i) {
      fixture.AddZoneAgent("a" + std::to_string(i), "z1", {}, true);
    }
    const ProcessId warm = fixture.AddZoneAgent("warm", "z2");
    fixture.Submit("job", 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, fixture.CountOffersTo(warm));
  }

  void HalfOfTheCoresCount()
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1", {}, true);
    fixture.AddZoneAgent("a2", "z2");
    std::optional<Answer> refusal;
    for (int i = 0; i < 50 && !refusal; ++i) {
      refusal = fixture.AnswerTo(fixture.Submit("job" + std::to_string(i), 10));
    }
    CPPUNIT_ASSERT(refusal.has_value());
    CPPUNIT_ASSERT_MESSAGE(refusal->m_detail,
                           refusal->m_detail.find(" cores=24 ") !=
                             std::string::npos);
  }

  /** Guards against expected run times that stay too long after a zone has
   * returned, for which jobs would be refused. */
  void RunTimesAreNotLearned()
  {
    CPPUNIT_ASSERT(ExpectedAfterSlowRuns(true) == milliseconds(100));
    CPPUNIT_ASSERT(ExpectedAfterSlowRuns(false) > milliseconds(150));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryWarmUpTest);

} // namespace

} // namespace mulberrysail::core
