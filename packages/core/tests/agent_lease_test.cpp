#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kRoom{ 4000, 4096, 0 };
constexpr Resources kTask{ 1600, 64, 0 };
const std::string kWorkerName = "w1";
const std::string kLife = "life-1";

AgentPolicy
LeasePolicy()
{
  AgentPolicy policy;
  policy.m_reserveDeclared = true;
  policy.m_runLease = milliseconds(500);
  policy.m_observeWait = milliseconds(150);
  policy.m_entryTimeout = milliseconds(600);
  return policy;
}

/** An agent with one worker that holds its runs by leases. */
class LeaseFixture : public AgentFixture
{
public:
  LeaseFixture()
    : AgentFixture(LeasePolicy())
  {
    Announce(kLife);
  }

  void Announce(const std::string& aLife, bool aLeaving = false)
  {
    WorkerAnnounced announced;
    announced.m_info.m_name = kWorkerName;
    announced.m_info.m_capacity = kRoom;
    announced.m_info.m_service = "photo";
    announced.m_url = "http://w1";
    announced.m_leaving = aLeaving;
    announced.m_hasRunLeases = true;
    announced.m_incarnation = aLife;
    Give(announced);
  }

  std::vector<ObserveRuns> Observations() const
  {
    std::vector<ObserveRuns> observations;
    for (const AgentCommand& command : m_commands) {
      if (const ObserveRuns* one = std::get_if<ObserveRuns>(&command)) {
        observations.push_back(*one);
      }
    }
    return observations;
  }

  /** Answers the latest observation. */
  void Observe(std::vector<RunName> aRunning,
               std::vector<EndedRun> aEnded = {},
               ObserveResult aResult = ObserveResult::Observed)
  {
    const ObserveRuns last = Observations().back();
    // An answer comes after the question.
    Advance(milliseconds(1));
    Give(RunsObserved{ kWorkerName,
                       last.m_target.m_incarnation,
                       last.m_observationId,
                       aResult,
                       std::move(aRunning),
                       std::move(aEnded) });
  }

  Offer NamedOffer(std::uint64_t aAttempt, const std::string& aName) const
  {
    Offer offer = TaskOffer(aAttempt, aAttempt, kTask);
    offer.m_name = aName;
    offer.m_dispatchTime = offer.m_startBy;
    return offer;
  }

  /** Observes an empty worker, offers a task and has it taken. */
  RunId Run(std::uint64_t aAttempt, const std::string& aName)
  {
    if (Starts().empty()) {
      Observe({});
    }
    MakeOffers({ NamedOffer(aAttempt, aName) });
    const RunId run = Starts().back().m_run;
    Give(StartAnswered{ run, StartResult::Started, {} });
    return run;
  }
};

/** Runs under leases: what starts, what is known of it, and when it is over. */
class AgentLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLeaseTest);
  CPPUNIT_TEST(NothingStartsBeforeTheWorkerWasObserved);
  CPPUNIT_TEST(ForeignRunsAreStoppedAndNotRenewed);
  CPPUNIT_TEST(RoomIsWhatIsDeclared);
  CPPUNIT_TEST(EndsAreReportedAndAcknowledged);
  CPPUNIT_TEST(AnEndIsTakenInOnce);
  CPPUNIT_TEST(UnansweredStartIsProvedBeforeItIsGivenBack);
  CPPUNIT_TEST(UnansweredStartThatRunsGoesOn);
  CPPUNIT_TEST(ProofIsNotHeldUpByAWaitingObservation);
  CPPUNIT_TEST(RunThatIsNoLongerListedWasInterrupted);
  CPPUNIT_TEST(RunThatWasSentMeanwhileIsNotMissed);
  CPPUNIT_TEST(LeasesRunOutOnASilentWorker);
  CPPUNIT_TEST(SilentWorkerIsNotRenewed);
  CPPUNIT_TEST(AnotherLifeEndsAllRuns);
  CPPUNIT_TEST(AnnouncementOfAnOldLifeChangesNothing);
  CPPUNIT_TEST(StoppedRunKeepsItsRoomUntilItsEnd);
  CPPUNIT_TEST(SilentEntrysRunsAreStopped);
  CPPUNIT_TEST(MessagesThatWereLongUnderWayAreNoSignOfLife);
  CPPUNIT_TEST(RunEndsAtItsCallersDeadline);
  CPPUNIT_TEST(LeavingWorkerGetsNothingNewAndIsHeld);
  CPPUNIT_TEST_SUITE_END();

public:
  void NothingStartsBeforeTheWorkerWasObserved()
  {
    LeaseFixture fixture;
    fixture.MakeOffers({ fixture.NamedOffer(1, "a") });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewFor);
    fixture.Observe({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.Starts()[0].m_lease == milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kLife, fixture.Starts()[0].m_target.m_incarnation);
  }

  void ForeignRunsAreStoppedAndNotRenewed()
  {
    LeaseFixture fixture;
    fixture.MakeOffers({ fixture.NamedOffer(1, "a") });
    fixture.Observe({ { "old", 3 } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    CPPUNIT_ASSERT_EQUAL(std::string("old"), fixture.Stops()[0].m_name.m_task);
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewFor);
    CPPUNIT_ASSERT(fixture.Starts().empty());
    fixture.Observe({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void RoomIsWhatIsDeclared()
  {
    LeaseFixture fixture;
    fixture.Observe({});
    fixture.MakeOffers({ fixture.NamedOffer(1, "a"),
                         fixture.NamedOffer(2, "b"),
                         fixture.NamedOffer(3, "c") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void EndsAreReportedAndAcknowledged()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({}, { { 9, { "a", 1 }, RunEnd::Completed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    // Nothing runs, but the end has to be taken note of.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 },
                         fixture.Observations().back().m_acknowledgedRun);
    const std::size_t asked = fixture.Observations().size();
    fixture.Observe({});
    CPPUNIT_ASSERT_EQUAL(asked, fixture.Observations().size());
  }

  void AnEndIsTakenInOnce()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({}, { { 9, { "a", 1 }, RunEnd::Failed } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Failed);
    // The same task under the same number is another attempt's run.
    fixture.Run(2, "a");
    fixture.Observe({ { "a", 1 } }, { { 9, { "a", 1 }, RunEnd::Failed } });
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
  }

  void UnansweredStartIsProvedBeforeItIsGivenBack()
  {
    LeaseFixture fixture;
    fixture.Observe({});
    fixture.MakeOffers({ fixture.NamedOffer(1, "a") });
    const RunId run = fixture.Starts()[0].m_run;
    fixture.Give(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    fixture.Observe({});
    CPPUNIT_ASSERT_MESSAGE("it may start yet", !fixture.ReportOn(1));
    fixture.Advance(milliseconds(1));
    fixture.Give(StopAnswered{ run, true });
    fixture.Observe({});
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Refused);
  }

  void UnansweredStartThatRunsGoesOn()
  {
    LeaseFixture fixture;
    fixture.Observe({});
    fixture.MakeOffers({ fixture.NamedOffer(1, "a") });
    const RunId run = fixture.Starts()[0].m_run;
    fixture.Observe({ { "a", 1 } });
    fixture.Give(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    CPPUNIT_ASSERT(fixture.Stops().empty());
  }

  void ProofIsNotHeldUpByAWaitingObservation()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.MakeOffers({ fixture.NamedOffer(2, "b") });
    fixture.Observe({ { "a", 1 } });
    // This one waits for an end.
    CPPUNIT_ASSERT(fixture.Observations().back().m_wait > Duration::zero());
    const RunId run = fixture.Starts().back().m_run;
    fixture.Give(StartAnswered{ run, StartResult::NoAnswer, "timeout" });
    const std::size_t asked = fixture.Observations().size();
    fixture.Advance(milliseconds(1));
    fixture.Give(StopAnswered{ run, true });
    CPPUNIT_ASSERT_EQUAL(asked + 1, fixture.Observations().size());
    CPPUNIT_ASSERT(fixture.Observations().back().m_wait == Duration::zero());
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
  }

  void RunThatIsNoLongerListedWasInterrupted()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Advance(milliseconds(10));
    // Asked before the start was answered, so it proves nothing.
    fixture.Observe({ { "a", 1 } });
    fixture.Observe({});
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
  }

  void RunThatWasSentMeanwhileIsNotMissed()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({ { "a", 1 } });
    fixture.Advance(milliseconds(5));
    fixture.MakeOffers({ fixture.NamedOffer(2, "b") });
    const RunId run = fixture.Starts().back().m_run;
    fixture.Give(StartAnswered{ run, StartResult::Started, {} });
    // The list was asked for before the second start.
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT(!fixture.ReportOn(2));
  }

  void LeasesRunOutOnASilentWorker()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({ { "a", 1 } });
    const Instant renewedAt = fixture.m_now;
    while (!fixture.ReportOn(1)) {
      fixture.Observe({}, {}, ObserveResult::NoAnswer);
      // What the entry still wants must not be the reason for the end.
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.Advance(milliseconds(50));
    }
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(fixture.m_now - renewedAt > milliseconds(500));
    CPPUNIT_ASSERT(fixture.m_now - renewedAt < milliseconds(800));
  }

  void SilentWorkerIsNotRenewed()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewFor);
    fixture.Observe({}, {}, ObserveResult::NoAnswer);
    fixture.Advance(milliseconds(60));
    CPPUNIT_ASSERT(!fixture.Observations().back().m_renewFor);
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_load.m_freeCapacity == Resources{});
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewFor);
  }

  void AnotherLifeEndsAllRuns()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({}, {}, ObserveResult::OtherIncarnation);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_workers.empty());
    fixture.Announce("life-2");
    fixture.Observe({});
    fixture.MakeOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::string("life-2"),
                         fixture.Starts().back().m_target.m_incarnation);
  }

  void AnnouncementOfAnOldLifeChangesNothing()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Observe({ { "a", 1 } });
    fixture.Announce("life-0");
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT_EQUAL(std::string("life-0"),
                         fixture.Observations().back().m_target.m_incarnation);
    fixture.Observe({}, {}, ObserveResult::OtherIncarnation);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    CPPUNIT_ASSERT_EQUAL(kLife, fixture.Observations().back().m_target.m_incarnation);
  }

  void StoppedRunKeepsItsRoomUntilItsEnd()
  {
    LeaseFixture fixture;
    const RunId run = fixture.Run(1, "a");
    fixture.Run(2, "b");
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    fixture.Give(StopAnswered{ run, true });
    fixture.MakeOffers({ fixture.NamedOffer(3, "c") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.Observe({ { "b", 1 } }, { { 1, { "a", 1 }, RunEnd::Interrupted } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Starts().size());
  }

  void SilentEntrysRunsAreStopped()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Advance(milliseconds(590));
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  /** A choked link delivers signs of life of an entry that has long given the
   * agent up; the entry counts from their sending. */
  void MessagesThatWereLongUnderWayAreNoSignOfLife()
  {
    LeaseFixture fixture;
    // The clocks of two machines have nothing in common.
    const Duration apart = std::chrono::hours(5);
    const auto say = [&](Duration aUnderWay) {
      fixture.Give(MessageReceived{
        fixture.m_entry, EntryHello{}, fixture.m_now + apart - aUnderWay });
    };
    say(milliseconds(1));
    fixture.Run(1, "a");
    for (int i = 0; i < 5; ++i) {
      fixture.Advance(milliseconds(190));
      say(milliseconds(2));
    }
    CPPUNIT_ASSERT(fixture.Stops().empty());
    // From here on nothing is sent, but what was comes ever later.
    for (int late = 190; late <= 570; late += 190) {
      fixture.Advance(milliseconds(190));
      say(milliseconds(late + 2));
    }
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void RunEndsAtItsCallersDeadline()
  {
    LeaseFixture fixture;
    fixture.Observe({});
    Offer offer = fixture.NamedOffer(1, "a");
    offer.m_deadline = fixture.m_now + milliseconds(300);
    fixture.MakeOffers({ offer });
    fixture.Give(
      StartAnswered{ fixture.Starts()[0].m_run, StartResult::Started, {} });
    fixture.Advance(milliseconds(310));
    CPPUNIT_ASSERT(!fixture.Stops().empty());
  }

  void LeavingWorkerGetsNothingNewAndIsHeld()
  {
    LeaseFixture fixture;
    fixture.Run(1, "a");
    fixture.Announce(kLife, true);
    fixture.MakeOffers({ fixture.NamedOffer(2, "b") });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Refused);
    fixture.Observe({ { "a", 1 } });
    CPPUNIT_ASSERT(fixture.Observations().back().m_renewFor);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLeaseTest);

} // namespace

} // namespace mulberrysail::core
