#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kWorkerCapacity{ 4000, 4096, 1 };
constexpr Resources kSmall{ 1000, 256, 0 };

/** Start of runs from offers, and reports of their outcomes. */
class AgentRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentRunTest);
  CPPUNIT_TEST(RequestRunsAndIsReported);
  CPPUNIT_TEST(TaskRunsOnWorkerAndIsReported);
  CPPUNIT_TEST(RequestsWaitForASlot);
  CPPUNIT_TEST(ConnectionsLimitRunningRequests);
  CPPUNIT_TEST(ShorterRequestStartsFirstUnlessALongerOneIsOlder);
  CPPUNIT_TEST(QueuedRequestIsRefusedAtStartBy);
  CPPUNIT_TEST(EarliestStartByStartsFirst);
  CPPUNIT_TEST(NothingStartsAfterItsStartBy);
  CPPUNIT_TEST(FailureAndLossAreReportedAsSuch);
  CPPUNIT_TEST(UnsentRequestIsRefused);
  CPPUNIT_TEST(UnsentTaskIsRetriedOnceOnAnotherWorker);
  CPPUNIT_TEST(RepeatedOutcomeOfARunIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestRunsAndIsReported()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(2);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    const std::vector<StartRun> starts = fixture.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("payload"), starts[0].m_payload);
    CPPUNIT_ASSERT_EQUAL(std::string("http://e"), starts[0].m_target.m_url);
    CPPUNIT_ASSERT(starts[0].m_lease == seconds(10));
    fixture.m_now += milliseconds(80);
    fixture.Finish(starts[0].m_run);
    const std::optional<AttemptReport> report = fixture.ReportOn(1);
    CPPUNIT_ASSERT(report && report->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("output"), report->m_output);
    CPPUNIT_ASSERT(report->m_ranFor == milliseconds(80));
    CPPUNIT_ASSERT(fixture.m_agent->Idle());
  }

  void TaskRunsOnWorkerAndIsReported()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    const std::vector<StartRun> starts = fixture.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
    CPPUNIT_ASSERT(starts[0].m_target.m_kind == WorkKind::Task);
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), starts[0].m_target.m_name);
    fixture.Finish(starts[0].m_run);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void RequestsWaitForASlot()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void ConnectionsLimitRunningRequests()
  {
    AgentFixture fixture;
    fixture.HandleEvent(
      EndpointAnnounced{ { "photo", 8, 2, false }, "http://e" });
    fixture.SendOffers({ fixture.RequestOffer(1),
                         fixture.RequestOffer(2),
                         fixture.RequestOffer(3) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void ShorterRequestStartsFirstUnlessALongerOneIsOlder()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    Offer oldAndLong = fixture.RequestOffer(2);
    oldAndLong.m_expectedRun = seconds(1);
    oldAndLong.m_payload = "old";
    fixture.SendOffers({ oldAndLong });
    fixture.Advance(seconds(1));
    Offer medium = fixture.RequestOffer(3);
    medium.m_expectedRun = milliseconds(600);
    medium.m_payload = "medium";
    Offer brief = fixture.RequestOffer(4);
    brief.m_expectedRun = milliseconds(100);
    brief.m_payload = "brief";
    fixture.SendOffers({ medium, brief });
    std::string order;
    for (std::size_t i = 0; i < 4; ++i) {
      order += fixture.Starts()[i].m_payload + " ";
      fixture.Finish(fixture.Starts()[i].m_run);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("payload brief old medium "), order);
  }

  void QueuedRequestIsRefusedAtStartBy()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    Offer late = fixture.RequestOffer(2);
    late.m_startBy = fixture.m_now + milliseconds(50);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.SendOffers({ late });
    fixture.Advance(milliseconds(49));
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
    fixture.Advance(milliseconds(1));
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_kind == ErrorKind::AttemptExpired);
  }

  void EarliestStartByStartsFirst()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    Offer urgent = fixture.RequestOffer(3);
    urgent.m_expectedRun = seconds(3);
    urgent.m_startBy = fixture.m_now + milliseconds(300);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.SendOffers({ fixture.RequestOffer(2), urgent });
    fixture.Advance(milliseconds(100));
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(250));
    CPPUNIT_ASSERT(!fixture.ReportOn(3));
  }

  void NothingStartsAfterItsStartBy()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.m_now += seconds(6);
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
  }

  void FailureAndLossAreReportedAsSuch()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(2);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.Finish(fixture.Starts()[0].m_run, RunOutcome::Failed);
    fixture.Finish(fixture.Starts()[1].m_run, RunOutcome::Lost);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Failed);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::TaskFailed);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Lost);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_kind == ErrorKind::RunLost);
  }

  void UnsentRequestIsRefused()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Finish(fixture.Starts()[0].m_run, RunOutcome::NeverSent);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::ConnectFailed);
  }

  void UnsentTaskIsRetriedOnceOnAnotherWorker()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.AddWorker("w2", kWorkerCapacity);
    fixture.AddWorker("w3", kWorkerCapacity);
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    fixture.Finish(fixture.Starts()[0].m_run, RunOutcome::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.Starts()[0].m_target.m_name !=
                   fixture.Starts()[1].m_target.m_name);
    CPPUNIT_ASSERT(fixture.Starts()[0].m_run != fixture.Starts()[1].m_run);
    CPPUNIT_ASSERT_EQUAL(std::string("payload"), fixture.Starts()[1].m_payload);
    fixture.Finish(fixture.Starts()[1].m_run, RunOutcome::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::ConnectFailed);
  }

  void RepeatedOutcomeOfARunIsIgnored()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    const RunId run = fixture.Starts()[0].m_run;
    fixture.Finish(run);
    fixture.Finish(run, RunOutcome::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Reports().size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 1 },
                         fixture.m_agent->Status().m_load.m_freeSlots);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentRunTest);

} // namespace

} // namespace mulberrysail::core
