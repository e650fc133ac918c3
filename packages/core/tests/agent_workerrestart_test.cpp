#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A worker that starts again under its id, maybe as another kind. What it
 * announced before is not true of it any more. */
class AgentWorkerRestartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentWorkerRestartTest);
  CPPUNIT_TEST(RestartedWorkerGetsNoTaskByItsEarlierLabels);
  CPPUNIT_TEST(AgentThatStoodStillAsksBeforeItTrustsTheLabels);
  CPPUNIT_TEST(TaskWaitsForTheAnnouncementOfTheSameKind);
  CPPUNIT_TEST(LateAnnouncementOfTheEarlierStartDescribesNothing);
  CPPUNIT_TEST(AnnouncementThatTellsNoStartIsForgottenAtARestart);
  CPPUNIT_TEST(StartIsNotSentAgainToAnotherKind);
  CPPUNIT_TEST(EntriesLearnThatARestartedWorkerHasNoFreeCapacity);
  CPPUNIT_TEST(CapacityOfTheEarlierStartIsForgotten);
  CPPUNIT_TEST_SUITE_END();

  static Offer OfferFor(const LeaseFixture& aFixture,
                        std::uint64_t aAttempt,
                        const std::string& aLabel)
  {
    Offer offer =
      aFixture.NamedOffer(aAttempt, "task" + std::to_string(aAttempt));
    offer.m_requiredLabel = aLabel;
    return offer;
  }

  /** @return the number of starts that the offer of a task leads to. */
  static std::size_t CountStarts(LeaseFixture& aFixture,
                                 std::uint64_t aAttempt,
                                 const std::string& aLabel)
  {
    aFixture.Receive(aFixture.m_entry, EntryHello{});
    const std::size_t before = aFixture.Starts().size();
    aFixture.SendOffers({ OfferFor(aFixture, aAttempt, aLabel) });
    return aFixture.Starts().size() - before;
  }

  static void AnnounceKind(LeaseFixture& aFixture, const std::string& aKind)
  {
    aFixture.m_labels = { aKind, "rack1" };
    aFixture.AnnounceLeasedWorker(kFirstIncarnation);
  }

  /** Starts the worker again, and lets the agent learn it from observations. */
  static void RestartUnannounced(LeaseFixture& aFixture)
  {
    aFixture.RestartWorker();
    aFixture.Advance(milliseconds(2100));
    aFixture.AnswerObservation({});
    aFixture.AnswerObservation({});
  }

public:
  /** Guards against ROUTE by the labels of an earlier start (review/7). */
  void RestartedWorkerGetsNoTaskByItsEarlierLabels()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    RestartUnannounced(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 1, "a"));
    AnnounceKind(fixture, "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 2, "a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountStarts(fixture, 3, "b"));
  }

  /** Guards against ROUTE as an agent wakes between two announcements
   * (review/9). */
  void AgentThatStoodStillAsksBeforeItTrustsTheLabels()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    fixture.m_now += milliseconds(2750);
    fixture.RestartWorker();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 1, "a"));
    fixture.AnswerObservation({});
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void TaskWaitsForTheAnnouncementOfTheSameKind()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    RestartUnannounced(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 1, "a"));
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    AnnounceKind(fixture, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void LateAnnouncementOfTheEarlierStartDescribesNothing()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    RestartUnannounced(fixture);
    fixture.m_startedAtMs -= 1000;
    fixture.m_lastSequence = 7;
    AnnounceKind(fixture, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 1, "a"));
    fixture.AnnounceLeasedWorker(kFirstIncarnation, true);
    CPPUNIT_ASSERT(!fixture.m_agent->Status().m_workers.empty());
  }

  void AnnouncementThatTellsNoStartIsForgottenAtARestart()
  {
    LeaseFixture fixture;
    fixture.m_labels = { "a", "rack1" };
    fixture.AnswerObservation({});
    const std::uint64_t startedAtMs = std::exchange(fixture.m_startedAtMs, 0);
    fixture.AnnounceLeasedWorker("life-2");
    fixture.m_startedAtMs = startedAtMs;
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountStarts(fixture, 1, "a"));
    fixture.AnswerObservation({ { "task1", 1 } },
                              { { 1, { "task1", 1 }, RunEnd::Completed } });
    RestartUnannounced(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountStarts(fixture, 2, "a"));
  }

  void StartIsNotSentAgainToAnotherKind()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountStarts(fixture, 1, "a"));
    const RunId run = fixture.Starts().back().m_run;
    fixture.RestartWorker();
    AnnounceKind(fixture, "b");
    fixture.AnswerObservation({});
    fixture.HandleEvent(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void EntriesLearnThatARestartedWorkerHasNoFreeCapacity()
  {
    LeaseFixture fixture;
    AnnounceKind(fixture, "a");
    fixture.AnswerObservation({});
    RestartUnannounced(fixture);
    fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT(fixture.Announcements().back().m_load.m_freeCapacity ==
                   Resources{});
  }

  void CapacityOfTheEarlierStartIsForgotten()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    fixture.RestartWorker();
    fixture.AnnounceLeasedWorker(
      kFirstIncarnation, false, Resources{ 1000, 4096, 0 });
    fixture.AnswerObservation({});
    fixture.SendOffers({ fixture.NamedOffer(1, "task") });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::Unsatisfiable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentWorkerRestartTest);

} // namespace

} // namespace mulberrysail::core
