#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Calls to workers that get no answer, and what they say about the worker. */
class AgentLostCallTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLostCallTest);
  CPPUNIT_TEST(WorkerThatAnswersHalfOfTheStartsStaysInUse);
  CPPUNIT_TEST(LostObservationHidesNoEndForLong);
  CPPUNIT_TEST(AnswerToAnEarlierObservationCounts);
  CPPUNIT_TEST(AnswerOlderThanTheLastIsIgnored);
  CPPUNIT_TEST(AnswerFromBeforeAKnownEndStopsNothing);
  CPPUNIT_TEST_SUITE_END();

  static RunId OfferTask(LeaseFixture& aFixture, std::uint64_t aAttempt)
  {
    aFixture.SendOffers(
      { aFixture.NamedOffer(aAttempt, "task" + std::to_string(aAttempt)) });
    return aFixture.Starts().back().m_run;
  }

  static void ProveNotStarted(LeaseFixture& aFixture, RunId aRun)
  {
    aFixture.Advance(milliseconds(1));
    aFixture.HandleEvent(StopAnswered{ aRun, true });
    aFixture.AnswerObservation({});
  }

public:
  void WorkerThatAnswersHalfOfTheStartsStaysInUse()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    for (std::uint64_t i = 1; i <= 20; ++i) {
      const RunId run = OfferTask(fixture, i);
      const std::size_t startsBefore = fixture.Starts().size();
      fixture.HandleEvent(
        StartAnswered{ run, StartResult::NoAnswer, "timeout" });
      if (fixture.Starts().size() > startsBefore) {
        fixture.HandleEvent(StartAnswered{ run, StartResult::Started, {} });
        fixture.AnswerObservation(
          {},
          { { i, { "task" + std::to_string(i), 1 }, RunEnd::Interrupted } });
      } else {
        ProveNotStarted(fixture, run);
      }
      CPPUNIT_ASSERT(!fixture.IsQuarantined());
    }
  }

  void LostObservationHidesNoEndForLong()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    const ObserveRuns lost = fixture.Observations().back();
    fixture.Advance(lost.m_wait + milliseconds(30));
    CPPUNIT_ASSERT(fixture.Observations().back().m_observationId !=
                   lost.m_observationId);
    fixture.AnswerObservation({}, { { 9, { "a", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    fixture.AnswerObservation(lost, ObserveResult::NoAnswer, {});
    CPPUNIT_ASSERT(!fixture.IsQuarantined());
  }

  void AnswerToAnEarlierObservationCounts()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    const ObserveRuns late = fixture.Observations().back();
    fixture.Advance(late.m_wait + milliseconds(30));
    fixture.AnswerObservation(late,
                              ObserveResult::Observed,
                              {},
                              { { 9, { "a", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void AnswerOlderThanTheLastIsIgnored()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    const ObserveRuns late = fixture.Observations().back();
    fixture.Advance(late.m_wait + milliseconds(30));
    fixture.AnswerObservation({}, { { 9, { "a", 1 }, RunEnd::Completed } });
    const std::size_t stopsBefore = fixture.Stops().size();
    fixture.AnswerObservation(late, ObserveResult::Observed, { { "a", 1 } });
    CPPUNIT_ASSERT_EQUAL(stopsBefore, fixture.Stops().size());
  }

  void AnswerFromBeforeAKnownEndStopsNothing()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    const ObserveRuns earlier = fixture.Observations().back();
    fixture.Advance(earlier.m_wait + milliseconds(30));
    const ObserveRuns later = fixture.Observations().back();
    fixture.AnswerObservation(earlier,
                              ObserveResult::Observed,
                              {},
                              { { 9, { "a", 1 }, RunEnd::Completed } });
    fixture.AnswerObservation(later, ObserveResult::Observed, { { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLostCallTest);

} // namespace

} // namespace mulberrysail::core
