#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Start, observation, renewal and end of runs under leases. */
class AgentLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLeaseTest);
  CPPUNIT_TEST(NothingStartsBeforeTheWorkerWasObserved);
  CPPUNIT_TEST(ForeignRunsAreStoppedAndNotRenewed);
  CPPUNIT_TEST(DeclaredNeedReducesFreeCapacity);
  CPPUNIT_TEST(EndsAreReportedAndAcknowledged);
  CPPUNIT_TEST(EndIsAppliedOnce);
  CPPUNIT_TEST(UnansweredStartIsRefusedOnlyAfterProofOfNoRun);
  CPPUNIT_TEST(UnansweredStartOfAnObservedRunIsNotStopped);
  CPPUNIT_TEST(ProofOfNoRunDoesNotWaitForAPendingObservation);
  CPPUNIT_TEST(RunMissingFromTheObservationIsInterrupted);
  CPPUNIT_TEST(RunStartedDuringTheObservationIsNotInterrupted);
  CPPUNIT_TEST(LeasesExpireOnAnUnresponsiveWorker);
  CPPUNIT_TEST(LeasesOfAnUnresponsiveWorkerAreNotRenewed);
  CPPUNIT_TEST(SilentWorkerIsObservedUntilItAnswersAlsoWithoutRuns);
  CPPUNIT_TEST(SilentWorkerThatLeavesIsNotObserved);
  CPPUNIT_TEST(NoLeaseIsGivenBeforeAnUnclearStartThatLapsedIsStopped);
  CPPUNIT_TEST(AnotherIncarnationEndsAllRuns);
  CPPUNIT_TEST(AnnouncementOfAnOldIncarnationEndsNoRun);
  CPPUNIT_TEST(LateAnnouncementOfADeadIncarnationChangesNothing);
  CPPUNIT_TEST(TaskWaitsWhileAnotherIncarnationIsAnnounced);
  CPPUNIT_TEST(StoppedRunKeepsItsCapacityUntilItsEnd);
  CPPUNIT_TEST(RunsOfAnUnresponsiveEntryAreStopped);
  CPPUNIT_TEST(DelayedMessagesDoNotExtendTheEntryTimeout);
  CPPUNIT_TEST(RunEndsAtItsCallersDeadline);
  CPPUNIT_TEST(LeavingWorkerGetsNoNewRunButItsLeasesAreRenewed);
  CPPUNIT_TEST_SUITE_END();

  /** Leaves observations unanswered until @p aAttempt has ended. */
  static void LetLeasesLapse(LeaseFixture& aFixture, std::uint64_t aAttempt)
  {
    while (!aFixture.ReportOn(aAttempt)) {
      aFixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
      // The entry stays responsive, so only the expired lease can end the run.
      aFixture.Receive(aFixture.m_entry, EntryHello{});
      aFixture.Advance(milliseconds(50));
    }
  }

public:
  void NothingStartsBeforeTheWorkerWasObserved()
  {
    LeaseFixture fixture;
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewUntil);
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.Starts()[0].m_leaseEndsAt ==
                   fixture.WorkerClockNow() + milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kFirstIncarnation,
                         fixture.Starts()[0].m_target.m_incarnation);
  }

  void ForeignRunsAreStoppedAndNotRenewed()
  {
    LeaseFixture fixture;
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    fixture.AnswerObservation({ { "old", 3 } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    CPPUNIT_ASSERT_EQUAL(std::string("old"), fixture.Stops()[0].m_name.m_task);
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewUntil);
    CPPUNIT_ASSERT(fixture.Starts().empty());
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void DeclaredNeedReducesFreeCapacity()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(1, "a"),
                         fixture.NamedOffer(2, "b"),
                         fixture.NamedOffer(3, "c") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void EndsAreReportedAndAcknowledged()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({}, { { 9, { "a", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    // No run is active, but the end still has to be acknowledged.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 },
                         fixture.Observations().back().m_acknowledgedRun);
    const std::size_t queriesBefore = fixture.Observations().size();
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(queriesBefore, fixture.Observations().size());
  }

  void EndIsAppliedOnce()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({}, { { 9, { "a", 1 }, RunEnd::Failed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Failed);
    // The second attempt reuses the run name {"a", 1}.
    fixture.RunTask(2, "a");
    fixture.AnswerObservation({ { "a", 1 } },
                              { { 9, { "a", 1 }, RunEnd::Failed } });
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
  }

  void UnansweredStartIsRefusedOnlyAfterProofOfNoRun()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    const RunId run = fixture.Starts()[0].m_run;
    fixture.LeaveStartUnanswered(run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_MESSAGE("refused although the run may still start",
                           !fixture.ReportOn(1));
    fixture.Advance(milliseconds(1));
    fixture.HandleEvent(StopAnswered{ run, true });
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Refused);
  }

  void UnansweredStartOfAnObservedRunIsNotStopped()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    const RunId run = fixture.Starts()[0].m_run;
    fixture.AnswerObservation({ { "a", 1 } });
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT(fixture.Stops().empty());
  }

  void ProofOfNoRunDoesNotWaitForAPendingObservation()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    fixture.AnswerObservation({ { "a", 1 } });
    // This observation waits for the end of a run.
    CPPUNIT_ASSERT(fixture.Observations().back().m_wait > Duration::zero());
    const RunId run = fixture.Starts().back().m_run;
    fixture.LeaveStartUnanswered(run);
    const std::size_t queriesBefore = fixture.Observations().size();
    fixture.Advance(milliseconds(1));
    fixture.HandleEvent(StopAnswered{ run, true });
    CPPUNIT_ASSERT_EQUAL(queriesBefore + 1, fixture.Observations().size());
    CPPUNIT_ASSERT(fixture.Observations().back().m_wait == Duration::zero());
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
  }

  void RunMissingFromTheObservationIsInterrupted()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.Advance(milliseconds(10));
    // This observation was requested before the start was answered, so it
    // proves nothing about the run.
    fixture.AnswerObservation({ { "a", 1 } });
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
  }

  void RunStartedDuringTheObservationIsNotInterrupted()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    fixture.Advance(milliseconds(5));
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    const RunId run = fixture.Starts().back().m_run;
    fixture.HandleEvent(StartAnswered{ run, StartResult::Started, {} });
    // The observation was requested before the second start.
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
  }

  void LeasesExpireOnAnUnresponsiveWorker()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    const Instant renewedAt = fixture.m_now;
    while (!fixture.ReportOn(1)) {
      fixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
      // The entry stays responsive, so only the expired lease can end the run.
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.Advance(milliseconds(50));
    }
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(fixture.m_now - renewedAt > milliseconds(500));
    CPPUNIT_ASSERT(fixture.m_now - renewedAt < milliseconds(800));
  }

  void LeasesOfAnUnresponsiveWorkerAreNotRenewed()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewUntil);
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewUntil ==
                   fixture.WorkerClockNow() + milliseconds(500));
    fixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
    fixture.Advance(milliseconds(60));
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewUntil);
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_load.m_freeCapacity ==
                   Resources{});
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewUntil);
  }

  void SilentWorkerIsObservedUntilItAnswersAlsoWithoutRuns()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    LetLeasesLapse(fixture, 1);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT(!fixture.Observations().empty());
    fixture.AnswerObservation({});
    fixture.Receive(fixture.m_entry, EntryHello{});
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void SilentWorkerThatLeavesIsNotObserved()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    LetLeasesLapse(fixture, 1);
    fixture.AnnounceLeasedWorker(kFirstIncarnation, true);
    fixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
    const std::size_t observations = fixture.Observations().size();
    fixture.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(observations, fixture.Observations().size());
  }

  void NoLeaseIsGivenBeforeAnUnclearStartThatLapsedIsStopped()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    const RunId run = fixture.Starts()[0].m_run;
    LetLeasesLapse(fixture, 1);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT(!fixture.Observations().empty());
    fixture.AnswerObservation({});
    fixture.Receive(fixture.m_entry, EntryHello{});
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewUntil);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         fixture.Stops().back().m_name.m_task);
    const std::size_t stopsBefore = fixture.Stops().size();
    fixture.Advance(milliseconds(60));
    CPPUNIT_ASSERT(fixture.Stops().size() > stopsBefore);
    fixture.HandleEvent(StopAnswered{ run, true });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void AnotherIncarnationEndsAllRuns()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({}, {}, ObserveResult::OtherIncarnation);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_workers.empty());
    fixture.AnnounceLeasedWorker("life-2");
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::string("life-2"),
                         fixture.Starts().back().m_target.m_incarnation);
  }

  void AnnouncementOfAnOldIncarnationEndsNoRun()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnswerObservation({ { "a", 1 } });
    fixture.AnnounceLeasedWorker("life-0");
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT_EQUAL(std::string("life-0"),
                         fixture.Observations().back().m_target.m_incarnation);
    fixture.AnswerObservation({}, {}, ObserveResult::OtherIncarnation);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    CPPUNIT_ASSERT_EQUAL(kFirstIncarnation,
                         fixture.Observations().back().m_target.m_incarnation);
  }

  void LateAnnouncementOfADeadIncarnationChangesNothing()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.AnnounceLeasedWorker("life-2", false, kLeasedTaskNeed);
    fixture.AnswerObservation({});
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::string("life-2"),
                         fixture.Starts().back().m_target.m_incarnation);
  }

  void TaskWaitsWhileAnotherIncarnationIsAnnounced()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.AnnounceLeasedWorker("life-0");
    fixture.SendOffers({ fixture.NamedOffer(1, "a") });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void StoppedRunKeepsItsCapacityUntilItsEnd()
  {
    LeaseFixture fixture;
    const RunId run = fixture.RunTask(1, "a");
    fixture.RunTask(2, "b");
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    fixture.HandleEvent(StopAnswered{ run, true });
    fixture.SendOffers({ fixture.NamedOffer(3, "c") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.AnswerObservation({ { "b", 1 } },
                              { { 1, { "a", 1 }, RunEnd::Interrupted } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Starts().size());
  }

  void RunsOfAnUnresponsiveEntryAreStopped()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.Advance(milliseconds(590));
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  /** A heartbeat counts from the time it was sent: on an overloaded link it
   * may arrive after the entry has abandoned the agent. */
  void DelayedMessagesDoNotExtendTheEntryTimeout()
  {
    LeaseFixture fixture;
    // The clocks of the two machines are unrelated.
    const Duration clockOffset = std::chrono::hours(5);
    const auto receiveDelayed = [&](Duration aDelay) {
      fixture.HandleEvent(MessageReceived{
        fixture.m_entry, EntryHello{}, fixture.m_now + clockOffset - aDelay });
    };
    receiveDelayed(milliseconds(1));
    fixture.RunTask(1, "a");
    for (int i = 0; i < 5; ++i) {
      fixture.Advance(milliseconds(190));
      receiveDelayed(milliseconds(2));
    }
    CPPUNIT_ASSERT(fixture.Stops().empty());
    // From here on nothing new is sent; messages that were sent before arrive
    // with growing delay.
    for (int delayMs = 190; delayMs <= 570; delayMs += 190) {
      fixture.Advance(milliseconds(190));
      receiveDelayed(milliseconds(delayMs + 2));
    }
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void RunEndsAtItsCallersDeadline()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer offer = fixture.NamedOffer(1, "a");
    offer.m_deadline = fixture.m_now + milliseconds(300);
    fixture.SendOffers({ offer });
    fixture.HandleEvent(
      StartAnswered{ fixture.Starts()[0].m_run, StartResult::Started, {} });
    fixture.Advance(milliseconds(310));
    CPPUNIT_ASSERT(!fixture.Stops().empty());
  }

  void LeavingWorkerGetsNoNewRunButItsLeasesAreRenewed()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnnounceLeasedWorker(kFirstIncarnation, true);
    fixture.SendOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
    fixture.AnswerObservation({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewUntil);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLeaseTest);

} // namespace

} // namespace mulberrysail::core
