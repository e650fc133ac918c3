#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::seconds;

constexpr Resources kWorkerCapacity{ 4000, 4096, 1 };
constexpr Resources kNeed{ 1000, 256, 0 };

void
AnnounceWorker(AgentFixture& aFixture,
               const std::string& aName,
               Duration aWarmUpRemaining)
{
  WorkerAnnounced announced{
    { aName, "rack1", kWorkerCapacity, false }, "http://" + aName, false, {}
  };
  announced.m_warmUpRemaining = aWarmUpRemaining;
  aFixture.HandleEvent(std::move(announced));
}

bool
IsWarmingUp(const AgentFixture& aFixture)
{
  return aFixture.m_agent->Status().m_workers.at(0).m_warmingUp;
}

/** Workers that run tasks slowly after their start. */
class AgentWarmUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentWarmUpTest);
  CPPUNIT_TEST(StartAndEndOfAWarmUpAreAnnounced);
  CPPUNIT_TEST(RepeatedAnnouncementsDoNotExtendTheWarmUp);
  CPPUNIT_TEST(ReportsSayWhetherTheWorkerWasWarmingUp);
  CPPUNIT_TEST(OtherWorkersArePreferred);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against entries that avoid a worker until its next change, or that
   * don't avoid it at all. */
  void StartAndEndOfAWarmUpAreAnnounced()
  {
    AgentFixture fixture;
    fixture.ClearCommands();
    AnnounceWorker(fixture, "w1", seconds(1));
    CPPUNIT_ASSERT(fixture.Announcements().back().m_workers[0].m_warmingUp);
    fixture.ClearCommands();
    fixture.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Announcements().size());
    CPPUNIT_ASSERT(!fixture.Announcements()[0].m_workers[0].m_warmingUp);
  }

  void RepeatedAnnouncementsDoNotExtendTheWarmUp()
  {
    AgentFixture fixture;
    AnnounceWorker(fixture, "w1", seconds(3));
    fixture.Advance(seconds(2));
    AnnounceWorker(fixture, "w1", seconds(1));
    CPPUNIT_ASSERT(IsWarmingUp(fixture));
    fixture.Advance(seconds(1));
    CPPUNIT_ASSERT(!IsWarmingUp(fixture));
  }

  /** Guards against run times that are learned from a cold worker. */
  void ReportsSayWhetherTheWorkerWasWarmingUp()
  {
    AgentFixture fixture;
    AnnounceWorker(fixture, "w1", seconds(1));
    fixture.SendOffers({ fixture.TaskOffer(1, 1, kNeed) });
    fixture.Advance(seconds(2));
    fixture.SendOffers({ fixture.TaskOffer(2, 2, kNeed) });
    fixture.Finish(fixture.Starts().at(0).m_run);
    fixture.Finish(fixture.Starts().at(1).m_run);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_warmingUp);
    CPPUNIT_ASSERT(!fixture.ReportOn(2)->m_warmingUp);
  }

  /** An entry knows only the free capacity of all workers of an agent. */
  void OtherWorkersArePreferred()
  {
    AgentFixture fixture;
    AnnounceWorker(fixture, "w1", seconds(5));
    AnnounceWorker(fixture, "w2", {});
    for (std::uint64_t i = 1; i <= 5; ++i) {
      fixture.SendOffers({ fixture.TaskOffer(i, i, kNeed) });
    }
    const std::vector<StartRun> starts = fixture.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, starts.size());
    for (std::size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("w2"), starts[i].m_target.m_name);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), starts[4].m_target.m_name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentWarmUpTest);

} // namespace

} // namespace mulberrysail::core
