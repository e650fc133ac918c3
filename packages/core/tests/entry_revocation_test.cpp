#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Revocations of the tasks of jobs whose callers have left. */
class EntryRevocationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryRevocationTest);
  CPPUNIT_TEST(RevocationLostWithItsLinkIsRepeated);
  CPPUNIT_TEST(UnconfirmedRevocationIsRepeated);
  CPPUNIT_TEST(ConfirmedRevocationIsNotRepeated);
  CPPUNIT_TEST(RevocationIsRepeatedWhileOtherWorkRenewsTheLease);
  CPPUNIT_TEST(ResubmittedJobWaitsForTheEndOfItsEarlierRuns);
  CPPUNIT_TEST(ResubmittedJobStartsOnceTheLeaseOfASilentAgentHasEnded);
  CPPUNIT_TEST_SUITE_END();

public:
  void RevocationLostWithItsLinkIsRepeated()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const AttemptId attempt = SubmitAndLeave(fixture);
    fixture.ClearCommands();
    fixture.HandleEvent(LinkReset{ agent });
    const auto revokes = fixture.Sent<RevokeBatch>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, revokes.size());
    CPPUNIT_ASSERT(revokes[0].second.m_attempts ==
                   std::vector<AttemptId>{ attempt });
    CPPUNIT_ASSERT(revokes[0].second.m_stopRunning);
  }

  void UnconfirmedRevocationIsRepeated()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    SubmitAndLeave(fixture);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(110));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Sent<RevokeBatch>().size());
  }

  void ConfirmedRevocationIsNotRepeated()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    SubmitAndLeave(fixture);
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Interrupted);
    fixture.ClearCommands();
    fixture.HandleEvent(LinkReset{ agent });
    fixture.Advance(milliseconds(500));
    CPPUNIT_ASSERT(fixture.Sent<RevokeBatch>().empty());
  }

  void RevocationIsRepeatedWhileOtherWorkRenewsTheLease()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    SubmitAndLeave(fixture);
    fixture.Submit("other", 1, std::chrono::seconds(5));
    for (int i = 0; i < 20; ++i) {
      fixture.Advance(milliseconds(100));
      fixture.Receive(agent, ReportBatch{});
    }
    fixture.ClearCommands();
    fixture.Advance(milliseconds(150));
    CPPUNIT_ASSERT(!fixture.Sent<RevokeBatch>().empty());
  }

  void ResubmittedJobWaitsForTheEndOfItsEarlierRuns()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    SubmitAndLeave(fixture);
    const auto first = fixture.Offers().at(0);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(10));
    fixture.Submit("job", 1);
    fixture.Submit("other", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT_EQUAL(std::string("other.0"),
                         fixture.Offers()[0].m_offer.m_name);
    fixture.ReportFate(first, AttemptFate::Interrupted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT_EQUAL(std::string("job.0"),
                         fixture.Offers()[1].m_offer.m_name);
  }

  void ResubmittedJobStartsOnceTheLeaseOfASilentAgentHasEnded()
  {
    QueueFixture fixture;
    const ProcessId silent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    SubmitAndLeave(fixture);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    fixture.HandleEvent(SendFailed{ silent, EntryHello{} });
    fixture.ClearCommands();
    fixture.Advance(milliseconds(1210));
    fixture.Submit("job", 1);
    fixture.Advance(milliseconds(30));
    CPPUNIT_ASSERT(fixture.Offers().empty());
    fixture.Advance(milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

private:
  /** Submits a job of one task, whose caller leaves once it was offered. */
  static AttemptId SubmitAndLeave(QueueFixture& aFixture)
  {
    const CallerToken caller = aFixture.Submit("job", 1);
    const AttemptId attempt = aFixture.Offers().at(0).m_offer.m_attempt;
    aFixture.HandleEvent(CallerGone{ caller });
    return attempt;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRevocationTest);

} // namespace

} // namespace mulberrysail::core
