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
  CPPUNIT_TEST(SilentWorkerIsOutOfUseAfterThreeStartsUntilItAnswers);
  CPPUNIT_TEST(WorkerThatAnswersAllButStartsIsOutOfUseUntilAProbeIsAnswered);
  CPPUNIT_TEST(PauseAfterUnansweredStartsDoublesWithEachUnansweredProbe);
  CPPUNIT_TEST(LostObservationHidesNoEndForLong);
  CPPUNIT_TEST(AnswerToAnEarlierObservationCounts);
  CPPUNIT_TEST(AnswerOlderThanTheLastIsIgnored);
  CPPUNIT_TEST(AnswerFromBeforeAKnownEndStopsNothing);
  CPPUNIT_TEST(UnansweredStartIsSentAgainToAWorkerThatAnswers);
  CPPUNIT_TEST(RejectedRepeatOfAStartProvesNothing);
  CPPUNIT_TEST(RevokedRunIsNotSentAgain);
  CPPUNIT_TEST(StartIsNotSentAgainAboveAShrunkenCapacity);
  CPPUNIT_TEST(RunThatALaterObservationLacksIsNotInterrupted);
  CPPUNIT_TEST(UnclearStartIsRememberedAfterItsWorkerHasExpired);
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

  void SilentWorkerIsOutOfUseAfterThreeStartsUntilItAnswers()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = OfferTask(fixture, 1);
    fixture.LeaveStartUnanswered(run);
    const RunId other = OfferTask(fixture, 2);
    fixture.LeaveStartUnanswered(other);
    CPPUNIT_ASSERT(fixture.IsQuarantined());
    CPPUNIT_ASSERT(fixture.Starts().size() <= 3);
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_load.m_freeCapacity ==
                   Resources{});
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(!fixture.IsQuarantined());
  }

  void WorkerThatAnswersAllButStartsIsOutOfUseUntilAProbeIsAnswered()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    std::uint64_t attempt = 0;
    while (!fixture.IsQuarantined()) {
      const RunId run = OfferTask(fixture, ++attempt);
      fixture.LeaveStartUnanswered(run);
      ProveNotStarted(fixture, run);
      CPPUNIT_ASSERT(attempt <= 3);
    }
    fixture.Advance(milliseconds(250));
    CPPUNIT_ASSERT(!fixture.IsQuarantined());
    fixture.Receive(fixture.m_entry, EntryHello{});
    const RunId probe = OfferTask(fixture, 10);
    fixture.HandleEvent(StartAnswered{ probe, StartResult::Started, {} });
    const std::size_t startsBefore = fixture.Starts().size();
    OfferTask(fixture, 11);
    CPPUNIT_ASSERT_EQUAL(startsBefore + 1, fixture.Starts().size());
  }

  void PauseAfterUnansweredStartsDoublesWithEachUnansweredProbe()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    std::uint64_t attempt = 0;
    while (!fixture.IsQuarantined()) {
      const RunId run = OfferTask(fixture, ++attempt);
      fixture.LeaveStartUnanswered(run);
      ProveNotStarted(fixture, run);
    }
    fixture.Advance(milliseconds(250));
    fixture.Receive(fixture.m_entry, EntryHello{});
    const RunId probe = OfferTask(fixture, 10);
    fixture.LeaveStartUnanswered(probe);
    ProveNotStarted(fixture, probe);
    CPPUNIT_ASSERT(fixture.IsQuarantined());
    fixture.Advance(milliseconds(450));
    CPPUNIT_ASSERT(fixture.IsQuarantined());
    fixture.Advance(milliseconds(50));
    CPPUNIT_ASSERT(!fixture.IsQuarantined());
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

  void UnansweredStartIsSentAgainToAWorkerThatAnswers()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = OfferTask(fixture, 1);
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT(fixture.Stops().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.Starts()[1].m_run == run);
    CPPUNIT_ASSERT(fixture.Starts()[1].m_name == fixture.Starts()[0].m_name);
    CPPUNIT_ASSERT_EQUAL(fixture.Starts()[0].m_payload,
                         fixture.Starts()[1].m_payload);
    fixture.HandleEvent(StartAnswered{ run, StartResult::Started, {} });
    fixture.AnswerObservation({ { "task1", 1 } });
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    CPPUNIT_ASSERT(fixture.Stops().empty());
  }

  void RejectedRepeatOfAStartProvesNothing()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = OfferTask(fixture, 1);
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    fixture.HandleEvent(StartAnswered{ run, StartResult::Rejected, "old" });
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    fixture.Advance(milliseconds(1));
    fixture.HandleEvent(StopAnswered{ run, true });
    fixture.AnswerObservation({}, { { 1, { "task1", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void RevokedRunIsNotSentAgain()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = OfferTask(fixture, 1);
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void StartIsNotSentAgainAboveAShrunkenCapacity()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = OfferTask(fixture, 1);
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, Resources{ 1, 1, 0 });
    const std::size_t startsBefore = fixture.Starts().size();
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT_EQUAL(startsBefore, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  /** The later one was answered before the start was carried out. */
  void RunThatALaterObservationLacksIsNotInterrupted()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "task1");
    fixture.AnswerObservation({ { "task1", 1 } });
    const ObserveRuns earlier = fixture.Observations().back();
    OfferTask(fixture, 2);
    fixture.Advance(earlier.m_wait + milliseconds(30));
    const ObserveRuns later = fixture.Observations().back();
    CPPUNIT_ASSERT(later.m_observationId != earlier.m_observationId);
    fixture.AnswerObservation(
      earlier, ObserveResult::Observed, { { "task1", 1 }, { "task2", 1 } });
    fixture.AnswerObservation(
      later, ObserveResult::Observed, { { "task1", 1 } });
    fixture.Advance(milliseconds(1));
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
  }

  void UnclearStartIsRememberedAfterItsWorkerHasExpired()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    OfferTask(fixture, 1);
    while (!fixture.ReportOn(1)) {
      fixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.Advance(milliseconds(50));
    }
    fixture.Advance(std::chrono::seconds(30));
    for (const ObserveRuns& observation : fixture.Observations()) {
      fixture.AnswerObservation(observation, ObserveResult::NoAnswer, {});
    }
    fixture.ClearCommands();
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT(!fixture.Observations().empty());
    fixture.AnswerObservation({});
    fixture.Receive(fixture.m_entry, EntryHello{});
    fixture.SendOffers({ fixture.NamedOffer(2, "task2") });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(!fixture.Stops().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLostCallTest);

} // namespace

} // namespace mulberrysail::core
