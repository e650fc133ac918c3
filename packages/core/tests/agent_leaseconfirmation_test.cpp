#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** The longest lease that a worker grants, on a clock that is 2% slow, and its
 * stop. */
constexpr milliseconds kLongestRun{ 1070 };
/** A lease of 500 ms on a clock that may be slow, and its stop: see
 * docs/design/attempt-leases.md. */
constexpr milliseconds kConfirmedRun{ 565 };
/** For the steps of the test. */
constexpr milliseconds kTolerance{ 20 };
constexpr milliseconds kStep{ 5 };

/** Which lease of a run counts: the wanted one, or the longest one that the
 * worker grants, as it may have started again under its id. */
class AgentLeaseConfirmationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLeaseConfirmationTest);
  CPPUNIT_TEST(StartAnsweredByAnotherLifeCountsTheLongestLease);
  CPPUNIT_TEST(UnansweredStartCountsTheLongestLease);
  CPPUNIT_TEST(StartAnsweredWithoutAClockCountsTheLongestLease);
  CPPUNIT_TEST(SecondLifeThatFollowsSoonCountsTheLongestLease);
  CPPUNIT_TEST(ReadingOfAnEarlierLifeShortensNoLease);
  CPPUNIT_TEST(AnswerOfAnEarlierLifeConfirmsNoLease);
  CPPUNIT_TEST(AnsweredStartCountsTheWantedLease);
  CPPUNIT_TEST(ObservedRunCountsTheWantedLease);
  CPPUNIT_TEST_SUITE_END();

  static RunId Start(LeaseFixture& aFixture)
  {
    aFixture.Receive(aFixture.m_entry, EntryHello{});
    aFixture.SendOffers({ aFixture.NamedOffer(1, "task") });
    return aFixture.Starts().back().m_run;
  }

  static void AnswerStart(LeaseFixture& aFixture,
                          RunId aRun,
                          std::optional<WorkerInstant> aClock)
  {
    aFixture.HandleEvent(
      StartAnswered{ aRun, StartResult::Started, {}, aClock });
  }

  /** Leaves all calls unanswered while the entry stays in touch.
   * @return how long after the call the run was reported as ended. */
  static Duration TimeToReport(LeaseFixture& aFixture)
  {
    const Instant cutAt = aFixture.m_now;
    while (!aFixture.ReportOn(1)) {
      CPPUNIT_ASSERT(aFixture.m_now < cutAt + milliseconds(1500));
      aFixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
      aFixture.Receive(aFixture.m_entry, EntryHello{});
      aFixture.Advance(kStep);
    }
    CPPUNIT_ASSERT(aFixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    return aFixture.m_now - cutAt;
  }

public:
  /** Guards against TWICE by a lease that a worker grants on the clock of a new
   * life, which its agent doesn't know (review/11). */
  void StartAnsweredByAnotherLifeCountsTheLongestLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.RestartWorker();
    const RunId run = Start(fixture);
    fixture.Advance(milliseconds(2));
    AnswerStart(fixture, run, fixture.WorkerClockNow());
    CPPUNIT_ASSERT(TimeToReport(fixture) >= kLongestRun);
  }

  /** Guards against TWICE as review/11, with the second cut at the start. */
  void UnansweredStartCountsTheLongestLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.RestartWorker();
    const RunId run = Start(fixture);
    fixture.LeaveStartUnanswered(run);
    CPPUNIT_ASSERT(TimeToReport(fixture) >= kLongestRun);
  }

  void StartAnsweredWithoutAClockCountsTheLongestLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.RestartWorker();
    AnswerStart(fixture, Start(fixture), std::nullopt);
    CPPUNIT_ASSERT(TimeToReport(fixture) >= kLongestRun);
  }

  /** The clock of the second life is lower by less than an announcement may be
   * late. */
  void SecondLifeThatFollowsSoonCountsTheLongestLease()
  {
    LeaseFixture fixture;
    fixture.RestartWorker();
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    fixture.AnswerObservation({});
    fixture.Advance(milliseconds(60));
    fixture.RestartWorker();
    const RunId run = Start(fixture);
    AnswerStart(fixture, run, fixture.WorkerClockNow());
    CPPUNIT_ASSERT(TimeToReport(fixture) >= kLongestRun);
  }

  /** An answer that was overtaken tells of the earlier clock. */
  void ReadingOfAnEarlierLifeShortensNoLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const WorkerInstant earlierClock = fixture.WorkerClockNow();
    fixture.RestartWorker();
    const RunId run = Start(fixture);
    fixture.Advance(milliseconds(2));
    AnswerStart(fixture, run, fixture.WorkerClockNow());
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, kLeasedCapacity, true, earlierClock);
    CPPUNIT_ASSERT(TimeToReport(fixture) >= kLongestRun);
  }

  /** It is handled after the restart is known, and the task is sent to the new
   * life by the earlier clock otherwise. */
  void AnswerOfAnEarlierLifeConfirmsNoLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = Start(fixture);
    const WorkerInstant earlierClock = fixture.WorkerClockNow();
    fixture.RestartWorker();
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    AnswerStart(fixture, run, earlierClock);
    // The first observations were sent before the restart was known.
    for (int i = 0; i < 3; ++i) {
      fixture.AnswerObservation({});
      fixture.Advance(milliseconds(60));
    }
    fixture.Receive(fixture.m_entry, EntryHello{});
    fixture.SendOffers({ fixture.NamedOffer(2, "next") });
    const StartRun next = fixture.Starts().back();
    CPPUNIT_ASSERT(next.m_name.m_task == "next");
    CPPUNIT_ASSERT(*next.m_leaseEndsAt <=
                   fixture.WorkerClockNow() + milliseconds(500));
  }

  /** A worker that is lost after its answer delays its tasks by no more. */
  void AnsweredStartCountsTheWantedLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = Start(fixture);
    fixture.Advance(milliseconds(2));
    AnswerStart(fixture, run, fixture.WorkerClockNow());
    CPPUNIT_ASSERT(TimeToReport(fixture) <= kConfirmedRun + kTolerance);
  }

  void ObservedRunCountsTheWantedLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const RunId run = Start(fixture);
    AnswerStart(fixture, run, std::nullopt);
    fixture.AnswerObservation({ { "task", 1 } });
    CPPUNIT_ASSERT(TimeToReport(fixture) <= kConfirmedRun + kTolerance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLeaseConfirmationTest);

} // namespace

} // namespace mulberrysail::core
