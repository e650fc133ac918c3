#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAnnounceInterval{ 1500 };
/** A lease of 500 ms on a clock that may be slow, and its stop: see
 * docs/design/attempt-leases.md. */
constexpr milliseconds kMaxLease{ 515 };
constexpr milliseconds kMaxRun{ 565 };

/** The end of a run lease on the worker's clock, and on the agent's. */
class AgentRunLeaseBoundTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentRunLeaseBoundTest);
  CPPUNIT_TEST(FirstLeaseAfterARestEndsInTimeOnASlowClock);
  CPPUNIT_TEST(FirstLeaseAfterARestEndsInTimeWithoutAnnouncedClocks);
  CPPUNIT_TEST(FirstLeaseAfterARestIsNearlyWholeOnARightClock);
  CPPUNIT_TEST(IdleWorkerThatAnnouncesItsClockIsNotObserved);
  CPPUNIT_TEST(DelayedAnnouncementShortensNoLease);
  CPPUNIT_TEST(ClockThatStoodStillLengthensNoLease);
  CPPUNIT_TEST(AgentThatStoodStillStartsNothingByAnOldReading);
  CPPUNIT_TEST(ClockOfAnEarlierStartIsNotUsed);
  CPPUNIT_TEST(RunOnASlowClockIsNotTakenForEndedBeforeItsStop);
  CPPUNIT_TEST(LeaseOfAStartThatIsSentAgainCountsFromItsOwnDecision);
  CPPUNIT_TEST(AgentThatStoodStillReportsNoRunBeforeItsEnd);
  CPPUNIT_TEST_SUITE_END();

  /** Lets the worker announce itself at its interval, without work. */
  static void Rest(LeaseFixture& aFixture, Duration aFor, bool aWithClock)
  {
    const Instant end = aFixture.m_now + aFor;
    while (aFixture.m_now < end) {
      const std::size_t before = aFixture.Observations().size();
      aFixture.Advance(kAnnounceInterval);
      if (aFixture.Observations().size() > before) {
        aFixture.AnswerObservation({});
      }
      aFixture.AnnounceLeasedWorker(
        kFirstIncarnation, false, kLeasedCapacity, aWithClock);
      aFixture.Receive(aFixture.m_entry, EntryHello{});
    }
  }

  /** @return whether the offer of a task led to a start at once. */
  static bool Offers(LeaseFixture& aFixture, std::uint64_t aAttempt)
  {
    aFixture.Receive(aFixture.m_entry, EntryHello{});
    const std::size_t before = aFixture.Starts().size();
    aFixture.SendOffers({ aFixture.NamedOffer(aAttempt, "task") });
    return aFixture.Starts().size() > before;
  }

  /** @return how long the lease lasts on the agent's clock. */
  static Duration LeaseOf(const LeaseFixture& aFixture, const StartRun& aStart)
  {
    const std::chrono::duration<double, std::milli> onWorker =
      *aStart.m_leaseEndsAt - aFixture.WorkerClockNow();
    return std::chrono::ceil<Duration>(onWorker / aFixture.m_workerClockRate);
  }

public:
  /** Guards against TWICE by a lease that was longer by 2% of the time without
   * work (review/6). */
  void FirstLeaseAfterARestEndsInTimeOnASlowClock()
  {
    LeaseFixture fixture;
    fixture.m_workerClockRate = 0.98;
    fixture.AnswerObservation({});
    Rest(fixture, seconds(25), true);
    fixture.Advance(milliseconds(1400));
    CPPUNIT_ASSERT(Offers(fixture, 1));
    CPPUNIT_ASSERT(LeaseOf(fixture, fixture.Starts().back()) <= kMaxLease);
  }

  void FirstLeaseAfterARestEndsInTimeWithoutAnnouncedClocks()
  {
    LeaseFixture fixture;
    fixture.m_workerClockRate = 0.98;
    // A start that tells its clock once does so in each announcement.
    fixture.RestartWorker();
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, kLeasedCapacity, false);
    fixture.AnswerObservation({});
    Rest(fixture, seconds(25), false);
    CPPUNIT_ASSERT(Offers(fixture, 1));
    const Duration lease = LeaseOf(fixture, fixture.Starts().back());
    CPPUNIT_ASSERT(lease <= kMaxLease);
    CPPUNIT_ASSERT(lease >= milliseconds(350));
  }

  void FirstLeaseAfterARestIsNearlyWholeOnARightClock()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Rest(fixture, seconds(60), true);
    fixture.Advance(milliseconds(1400));
    CPPUNIT_ASSERT(Offers(fixture, 1));
    const Duration lease = LeaseOf(fixture, fixture.Starts().back());
    CPPUNIT_ASSERT(lease >= milliseconds(450));
    CPPUNIT_ASSERT(lease <= kMaxLease);
  }

  void IdleWorkerThatAnnouncesItsClockIsNotObserved()
  {
    LeaseFixture fixture;
    fixture.m_workerClockRate = 0.98;
    fixture.AnswerObservation({});
    const std::size_t before = fixture.Observations().size();
    Rest(fixture, seconds(60), true);
    CPPUNIT_ASSERT_EQUAL(before, fixture.Observations().size());
  }

  /** A delayed reading gives the worker a lease that is over, or nearly. */
  void DelayedAnnouncementShortensNoLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const WorkerInstant sentAt = fixture.WorkerClockNow();
    fixture.Advance(seconds(2));
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, kLeasedCapacity, true, sentAt);
    CPPUNIT_ASSERT(!Offers(fixture, 1));
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(LeaseOf(fixture, fixture.Starts().back()) >=
                   milliseconds(490));
  }

  /** As on a machine that was suspended: only the agent's clock counts on. */
  void ClockThatStoodStillLengthensNoLease()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.m_now += seconds(2);
    fixture.m_workerClockStartedAt += seconds(2);
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    CPPUNIT_ASSERT(!Offers(fixture, 1));
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(LeaseOf(fixture, fixture.Starts().back()) <= kMaxLease);
  }

  void AgentThatStoodStillStartsNothingByAnOldReading()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    fixture.m_now += milliseconds(5500);
    CPPUNIT_ASSERT(!Offers(fixture, 1));
    fixture.AnnounceLeasedWorker(kFirstIncarnation);
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  /** The clock begins anew with each start of the worker, so the deadline
   * would be far ahead. */
  void ClockOfAnEarlierStartIsNotUsed()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.m_startedAtMs += 1000;
    fixture.m_lastSequence = 0;
    fixture.RestartClock();
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, kLeasedCapacity, false);
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(Offers(fixture, 1));
    CPPUNIT_ASSERT(LeaseOf(fixture, fixture.Starts().back()) <= kMaxLease);
  }

  /** Takes the drift over the lease and the stop of the run into account. */
  void RunOnASlowClockIsNotTakenForEndedBeforeItsStop()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "task");
    const Instant renewedAt = fixture.m_now;
    while (!fixture.ReportOn(1)) {
      CPPUNIT_ASSERT(fixture.m_now < renewedAt + milliseconds(600));
      fixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.Advance(milliseconds(5));
    }
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(fixture.m_now - renewedAt >= kMaxRun);
  }

  void LeaseOfAStartThatIsSentAgainCountsFromItsOwnDecision()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(Offers(fixture, 1));
    const StartRun first = fixture.Starts().back();
    fixture.Advance(milliseconds(25));
    fixture.HandleEvent(
      StartAnswered{ first.m_run, StartResult::NoAnswer, "timeout" });
    const StartRun second = fixture.Starts().back();
    CPPUNIT_ASSERT(second.m_name == first.m_name);
    CPPUNIT_ASSERT(*second.m_leaseEndsAt - *first.m_leaseEndsAt >=
                   milliseconds(24));
    CPPUNIT_ASSERT(LeaseOf(fixture, second) <= kMaxLease);
  }

  /** Guards against TWICE by an agent that wakes and reports a run as ended
   * that is still at work (review/8). */
  void AgentThatStoodStillReportsNoRunBeforeItsEnd()
  {
    std::size_t reported = 0;
    for (milliseconds freeze{ 400 }; freeze < milliseconds(700);
         freeze += milliseconds(1)) {
      LeaseFixture fixture;
      fixture.m_workerClockRate = 0.98;
      fixture.AnswerObservation({});
      Rest(fixture, seconds(25), true);
      fixture.Advance(milliseconds(1400));
      CPPUNIT_ASSERT(Offers(fixture, 1));
      const WorkerInstant leaseEndsAt =
        std::max(*fixture.Starts().back().m_leaseEndsAt,
                 *fixture.Observations().back().m_renewUntil);
      fixture.HandleEvent(StartAnswered{ fixture.Starts().back().m_run,
                                         StartResult::Started,
                                         {},
                                         fixture.WorkerClockNow() });
      // The entry's lease outlasts the freeze, so it revokes nothing.
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.m_now += freeze;
      const ObserveRuns pending = fixture.Observations().back();
      fixture.AnswerObservation(pending, ObserveResult::NoAnswer, {});
      if (fixture.ReportOn(1)) {
        ++reported;
        fixture.m_now -= milliseconds(50);
        CPPUNIT_ASSERT(fixture.WorkerClockNow() >= leaseEndsAt);
      }
    }
    CPPUNIT_ASSERT(reported > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentRunLeaseBoundTest);

} // namespace

} // namespace mulberrysail::core
