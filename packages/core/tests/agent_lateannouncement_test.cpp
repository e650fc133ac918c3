#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <utility>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAnnounceInterval{ 1500 };
/** See AgentPolicy::m_workerLease. */
constexpr milliseconds kAnnouncementLease{ 6000 };
constexpr Resources kShrunken{ 1000, 4096, 0 };

/** Answers each observation once, when the test asks for it. */
class LateAnnouncementFixture : public LeaseFixture
{
public:
  /** Answers the latest observation if it was sent since the last call. */
  void AnswerNewObservation()
  {
    const std::vector<ObserveRuns> observations = Observations();
    if (!observations.empty() &&
        observations.back().m_observationId != m_answered) {
      m_answered = observations.back().m_observationId;
      AnswerObservation({});
    }
  }

  std::uint64_t m_lastEnd = 0;

private:
  std::uint64_t m_answered = 0;
};

/** Announcements that arrive late, and what the agent remembers of a worker
 * that it no longer knows. */
class AgentLateAnnouncementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLateAnnouncementTest);
  CPPUNIT_TEST(ForgottenWorkerThatDrainsIsNotBroughtBack);
  CPPUNIT_TEST(DrainingWorkerThatWasNeverKnownIsNotBroughtBack);
  CPPUNIT_TEST(WorkerNeverTakesWorkAgainAfterItHasDrained);
  CPPUNIT_TEST(DeregisteredWorkerIsNotBroughtBack);
  CPPUNIT_TEST(NextStartOfADrainedWorkerGetsTasks);
  CPPUNIT_TEST(NextIncarnationOfADrainedWorkerGetsTasks);
  CPPUNIT_TEST(LateDeregistrationOfAnEarlierStartCostsOneAnnouncement);
  CPPUNIT_TEST(LateAnnouncementOfALargerCapacityStartsNothing);
  CPPUNIT_TEST(LateAnnouncementIsJudgedByTheFirstObservation);
  CPPUNIT_TEST(LateAnnouncementOfAKnownWorkerCountsFromItsSending);
  CPPUNIT_TEST(OldAnnouncementsThatArriveTogetherCountFromTheirSending);
  CPPUNIT_TEST(FreshAnnouncementAfterALateOneIsUsedAtOnce);
  CPPUNIT_TEST(AnnouncementsThatAreSteadilyLateKeepTheWorkerInUse);
  CPPUNIT_TEST(AgentThatStoodStillKeepsItsWorkerInUse);
  CPPUNIT_TEST(SlowClockKeepsTheWorkerInUse);
  CPPUNIT_TEST(AnnouncementWithoutAClockCountsFromItsReceipt);
  CPPUNIT_TEST(AnnouncementThatLacksTheClockOfItsStartIsIgnored);
  CPPUNIT_TEST(AnnouncementThatLacksTheStartOfItsIncarnationIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  struct Announcement
  {
    std::uint64_t m_sequence = 0;
    bool m_leaving = false;
    Resources m_capacity = kLeasedCapacity;
    std::optional<WorkerInstant> m_sentAt = std::nullopt;
  };

  static void Announce(LateAnnouncementFixture& aFixture,
                       const Announcement& aAnnouncement,
                       const std::string& aIncarnation = kFirstIncarnation)
  {
    aFixture.m_lastSequence = aAnnouncement.m_sequence - 1;
    aFixture.AnnounceLeasedWorker(aIncarnation,
                                  aAnnouncement.m_leaving,
                                  aAnnouncement.m_capacity,
                                  true,
                                  aAnnouncement.m_sentAt);
  }

  /** Answers the observations that are due, offers a task and answers again.
   * @return whether the task has started. */
  static bool Starts(LateAnnouncementFixture& aFixture, std::uint64_t aAttempt)
  {
    const std::size_t before = aFixture.Starts().size();
    aFixture.AnswerNewObservation();
    aFixture.Receive(aFixture.m_entry, EntryHello{});
    aFixture.SendOffers(
      { aFixture.NamedOffer(aAttempt, "task" + std::to_string(aAttempt)) });
    aFixture.AnswerNewObservation();
    return aFixture.Starts().size() > before;
  }

  /** Lets the worker announce that it drains until the agent has forgotten
   * it. */
  static void DrainUntilForgotten(LateAnnouncementFixture& aFixture)
  {
    aFixture.Advance(seconds(6));
    CPPUNIT_ASSERT(aFixture.m_agent->Status().m_workers.empty());
    for (std::uint64_t sequence = 10; sequence < 13; ++sequence) {
      Announce(aFixture, { .m_sequence = sequence, .m_leaving = true });
      aFixture.Advance(kAnnounceInterval);
    }
  }

  /** Lets the worker report the end of the task. */
  static void FinishTask(LateAnnouncementFixture& aFixture,
                         std::uint64_t aAttempt)
  {
    aFixture.AnswerObservation({},
                               { { ++aFixture.m_lastEnd,
                                   { "task" + std::to_string(aAttempt), 1 },
                                   RunEnd::Completed } });
  }

public:
  /** Guards against DRAIN by an announcement that a cut has delayed
   * (review/13). */
  void ForgottenWorkerThatDrainsIsNotBroughtBack()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    DrainUntilForgotten(fixture);
    Announce(fixture, { .m_sequence = 8 });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  /** As for an agent that was started while its worker drains. */
  void DrainingWorkerThatWasNeverKnownIsNotBroughtBack()
  {
    LateAnnouncementFixture fixture;
    fixture.Advance(seconds(70));
    Announce(fixture, { .m_sequence = 90, .m_leaving = true });
    Announce(fixture, { .m_sequence = 89 });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  /** Whatever its numbers say. */
  void WorkerNeverTakesWorkAgainAfterItHasDrained()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    Announce(fixture, { .m_sequence = 2, .m_leaving = true });
    Announce(fixture, { .m_sequence = 3 });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  void DeregisteredWorkerIsNotBroughtBack()
  {
    LateAnnouncementFixture fixture;
    fixture.m_startedAtMs = 0;
    fixture.Advance(seconds(6));
    fixture.HandleEvent(WorkerLeft{ kLeasedWorker, "life-2" });
    Announce(fixture, { .m_sequence = 7 }, "life-2");
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  void NextStartOfADrainedWorkerGetsTasks()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    DrainUntilForgotten(fixture);
    fixture.RestartWorker();
    Announce(fixture, { .m_sequence = 1 });
    CPPUNIT_ASSERT(Starts(fixture, 1));
  }

  void NextIncarnationOfADrainedWorkerGetsTasks()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    DrainUntilForgotten(fixture);
    Announce(fixture, { .m_sequence = 1 }, "life-2");
    CPPUNIT_ASSERT(Starts(fixture, 1));
  }

  /** A deregistration names the id alone, which the worker may have again. */
  void LateDeregistrationOfAnEarlierStartCostsOneAnnouncement()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    fixture.RestartWorker();
    Announce(fixture, { .m_sequence = 1 });
    fixture.HandleEvent(WorkerLeft{ kLeasedWorker, kFirstIncarnation });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
    fixture.Advance(kAnnounceInterval);
    Announce(fixture, { .m_sequence = 2 });
    CPPUNIT_ASSERT(Starts(fixture, 2));
  }

  /** Guards against LIMIT by an announcement that was sent before the capacity
   * shrank (review/15). */
  void LateAnnouncementOfALargerCapacityStartsNothing()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    const WorkerInstant sentAt = fixture.WorkerClockNow();
    fixture.Advance(seconds(8));
    Announce(fixture, { .m_sequence = 2, .m_sentAt = sentAt });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
    Announce(fixture, { .m_sequence = 7, .m_capacity = kShrunken });
    CPPUNIT_ASSERT(!Starts(fixture, 2));
  }

  /** As for an agent that was started a moment ago. */
  void LateAnnouncementIsJudgedByTheFirstObservation()
  {
    LateAnnouncementFixture fixture;
    fixture.Advance(seconds(80));
    Announce(fixture,
             { .m_sequence = 50,
               .m_sentAt = fixture.WorkerClockNow() - kAnnouncementLease });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  void LateAnnouncementOfAKnownWorkerCountsFromItsSending()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    fixture.Advance(milliseconds(100));
    const Instant sentAt = fixture.m_now;
    const WorkerInstant clock = fixture.WorkerClockNow();
    fixture.Advance(seconds(3));
    Announce(fixture, { .m_sequence = 2, .m_sentAt = clock });
    CPPUNIT_ASSERT(Starts(fixture, 1));
    fixture.Advance(sentAt + kAnnouncementLease - fixture.m_now);
    CPPUNIT_ASSERT(!Starts(fixture, 2));
  }

  /** The first one must not make the second look fresh. */
  void OldAnnouncementsThatArriveTogetherCountFromTheirSending()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    fixture.Advance(seconds(20));
    const WorkerInstant now = fixture.WorkerClockNow();
    Announce(fixture, { .m_sequence = 2, .m_sentAt = now - seconds(8) });
    Announce(fixture,
             { .m_sequence = 3, .m_sentAt = now - milliseconds(6500) });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }

  /** As after a cut. */
  void FreshAnnouncementAfterALateOneIsUsedAtOnce()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    const WorkerInstant sentAt = fixture.WorkerClockNow();
    fixture.Advance(seconds(8));
    Announce(fixture, { .m_sequence = 2, .m_sentAt = sentAt });
    CPPUNIT_ASSERT(!Starts(fixture, 1));
    fixture.Advance(milliseconds(200));
    Announce(fixture, { .m_sequence = 7 });
    CPPUNIT_ASSERT(Starts(fixture, 2));
  }

  /** As on a busy machine. */
  void AnnouncementsThatAreSteadilyLateKeepTheWorkerInUse()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    for (std::uint64_t beat = 1; beat <= 20; ++beat) {
      fixture.Advance(kAnnounceInterval);
      Announce(fixture,
               { .m_sequence = beat + 1,
                 .m_sentAt = fixture.WorkerClockNow() - milliseconds(500) });
      CPPUNIT_ASSERT(Starts(fixture, beat));
      FinishTask(fixture, beat);
    }
  }

  void AgentThatStoodStillKeepsItsWorkerInUse()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    fixture.m_now += seconds(4);
    const WorkerInstant now = fixture.WorkerClockNow();
    Announce(fixture, { .m_sequence = 2, .m_sentAt = now - seconds(3) });
    Announce(fixture,
             { .m_sequence = 3, .m_sentAt = now - milliseconds(1500) });
    Announce(fixture, { .m_sequence = 4 });
    CPPUNIT_ASSERT(Starts(fixture, 1));
  }

  void SlowClockKeepsTheWorkerInUse()
  {
    LateAnnouncementFixture fixture;
    fixture.m_workerClockRate = 0.98;
    fixture.AnswerNewObservation();
    for (std::uint64_t beat = 1; beat <= 40; ++beat) {
      fixture.Advance(kAnnounceInterval);
      Announce(fixture, { .m_sequence = beat + 1 });
    }
    fixture.Advance(kAnnouncementLease - milliseconds(200));
    CPPUNIT_ASSERT(Starts(fixture, 1));
  }

  /** A worker that doesn't tell its clock can't be judged by it. */
  void AnnouncementWithoutAClockCountsFromItsReceipt()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    fixture.AnnounceLeasedWorker("life-2", false, kLeasedCapacity, false);
    fixture.AnswerNewObservation();
    CPPUNIT_ASSERT(Starts(fixture, 1));
    FinishTask(fixture, 1);
    fixture.Advance(kAnnouncementLease);
    CPPUNIT_ASSERT(!Starts(fixture, 2));
  }

  /** It is from another writer, so its age is unknown. */
  void AnnouncementThatLacksTheClockOfItsStartIsIgnored()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    Announce(fixture, { .m_sequence = 2, .m_capacity = kShrunken });
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, kLeasedCapacity, false);
    CPPUNIT_ASSERT(!Starts(fixture, 1));
    Announce(fixture, { .m_sequence = 3 });
    CPPUNIT_ASSERT(Starts(fixture, 2));
  }

  void AnnouncementThatLacksTheStartOfItsIncarnationIsIgnored()
  {
    LateAnnouncementFixture fixture;
    fixture.AnswerNewObservation();
    Announce(fixture, { .m_sequence = 2, .m_capacity = kShrunken });
    const std::uint64_t startedAtMs = std::exchange(fixture.m_startedAtMs, 0);
    Announce(fixture, { .m_sequence = 3 });
    fixture.m_startedAtMs = startedAtMs;
    CPPUNIT_ASSERT(!Starts(fixture, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLateAnnouncementTest);

} // namespace

} // namespace mulberrysail::core
