#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** A job that two entries have admitted: both number the starts of a task from
 * 1, so that both attempts at one worker are one run. */
class AgentSharedRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentSharedRunTest);
  CPPUNIT_TEST(RunOfTwoEntriesIsNotInterruptedForOneOfThem);
  CPPUNIT_TEST(EndOfARunIsReportedToBothEntries);
  CPPUNIT_TEST(RunThatOneEntryRevokesEndsForBoth);
  CPPUNIT_TEST_SUITE_END();

  static const ProcessId& OtherEntry()
  {
    static const ProcessId kOther{ "entry2", Incarnation{ 4 } };
    return kOther;
  }

  /** Starts a task of attempt 1 for the first entry, and as attempt 2 for the
   * other one. */
  static void RunForBoth(LeaseFixture& aFixture)
  {
    aFixture.RunTask(1, "task");
    OfferBatch batch;
    batch.m_agentIncarnation = aFixture.m_self.m_incarnation;
    batch.m_sequence = 1;
    batch.m_offers = { aFixture.NamedOffer(2, "task") };
    aFixture.Receive(OtherEntry(), std::move(batch));
    const StartRun second = aFixture.Starts().back();
    CPPUNIT_ASSERT(second.m_name == aFixture.Starts().front().m_name);
    aFixture.HandleEvent(
      StartAnswered{ second.m_run, StartResult::Started, {} });
    // An answer that was sent before the second start proves nothing about it.
    aFixture.AnswerObservation({ { "task", 1 } });
    aFixture.Advance(milliseconds(1));
  }

public:
  void RunOfTwoEntriesIsNotInterruptedForOneOfThem()
  {
    LeaseFixture fixture;
    RunForBoth(fixture);
    fixture.AnswerObservation({ { "task", 1 } });
    fixture.AnswerObservation({ { "task", 1 } });
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
    CPPUNIT_ASSERT(fixture.Stops().empty());
  }

  void EndOfARunIsReportedToBothEntries()
  {
    LeaseFixture fixture;
    RunForBoth(fixture);
    fixture.AnswerObservation({}, { { 1, { "task", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Completed);
  }

  void RunThatOneEntryRevokesEndsForBoth()
  {
    LeaseFixture fixture;
    RunForBoth(fixture);
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    CPPUNIT_ASSERT(!fixture.Stops().empty());
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
    fixture.AnswerObservation({},
                              { { 1, { "task", 1 }, RunEnd::Interrupted } });
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Interrupted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentSharedRunTest);

} // namespace

} // namespace mulberrysail::core
