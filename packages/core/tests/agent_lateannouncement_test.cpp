#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAnnounceInterval{ 1500 };

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLateAnnouncementTest);

} // namespace

} // namespace mulberrysail::core
