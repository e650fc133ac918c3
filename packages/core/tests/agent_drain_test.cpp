#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kWorkerCapacity{ 4000, 4096, 1 };
constexpr Resources kLarge{ 4000, 256, 0 };
const ZoneDrains kDrained{ 5, { "z1", "z3" } };
const ZoneDrains kReturned{ 6, { "z3" } };

AgentPolicy
PolicyInZone(std::string aZone)
{
  AgentPolicy policy;
  policy.m_zone = std::move(aZone);
  return policy;
}

/** An agent with an endpoint of one slot and a worker for one large task. */
class ZoneFixture : public AgentFixture
{
public:
  explicit ZoneFixture(std::string aZone = "z1")
    : AgentFixture(PolicyInZone(std::move(aZone)))
  {
    AddEndpoint(1);
    AddWorker("w1", kWorkerCapacity);
    ClearCommands();
  }

  void ReceiveDrains(const ProcessId& aFrom, const ZoneDrains& aDrains)
  {
    EntryHello hello;
    hello.m_drains = aDrains;
    Receive(aFrom, std::move(hello));
  }

  void SendRequestAndTask(std::uint64_t aFirst)
  {
    SendOffers({ RequestOffer(aFirst), TaskOffer(aFirst + 1, 1, kLarge) });
  }

  ErrorKind KindOf(std::uint64_t aAttempt) const
  {
    const std::optional<AttemptReport> report = ReportOn(aAttempt);
    return report ? report->m_kind : ErrorKind::None;
  }

  std::size_t Count(EventCode aCode) const
  {
    return static_cast<std::size_t>(std::count_if(
      m_commands.begin(), m_commands.end(), [&](const AgentCommand& aAny) {
        const RecordEvent* const record = std::get_if<RecordEvent>(&aAny);
        return record != nullptr && record->m_code == aCode;
      }));
  }

  const ProcessId m_other{ "entry2", Incarnation{ 4 } };
};

/** What an agent does while operators have drained its zone. */
class AgentDrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentDrainTest);
  CPPUNIT_TEST(OffersInADrainedZoneAreRefused);
  CPPUNIT_TEST(QueuedWorkIsGivenBackAndRunningWorkEnds);
  CPPUNIT_TEST(RunThatWasNotSentIsGivenBack);
  CPPUNIT_TEST(DrainOfOtherZonesChangesNothing);
  CPPUNIT_TEST(ReturnedZoneGetsWorkAgain);
  CPPUNIT_TEST(ChangeIsAnnouncedToAllEntries);
  CPPUNIT_TEST(OlderCopyIsAnsweredWithTheNewerOne);
  CPPUNIT_TEST(CorrectionsAreLimited);
  CPPUNIT_TEST(SameZonesAtAnotherRevisionCauseNoMessage);
  CPPUNIT_TEST(StartAndEndAreRecorded);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against starts in a zone that operators have evacuated. */
  void OffersInADrainedZoneAreRefused()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.SendRequestAndTask(1);
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(fixture.KindOf(1) == ErrorKind::Draining);
    CPPUNIT_ASSERT(fixture.KindOf(2) == ErrorKind::Draining);
    const LoadReport load = fixture.m_agent->Status().m_load;
    CPPUNIT_ASSERT_EQUAL(0U, load.m_freeSlots);
    CPPUNIT_ASSERT(load.m_freeCapacity == Resources{});
    CPPUNIT_ASSERT_EQUAL(kDrained.Digest(), load.m_drainsDigest);
    const AgentCounters counters = fixture.m_agent->Counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, counters.m_refusedForDrain);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, counters.m_offersRefused);
  }

  /** Guards against queued work that waits out the drain, and against runs that
   * a drain cuts. */
  void QueuedWorkIsGivenBackAndRunningWorkEnds()
  {
    ZoneFixture fixture;
    fixture.SendRequestAndTask(1);
    fixture.SendRequestAndTask(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    CPPUNIT_ASSERT(fixture.KindOf(3) == ErrorKind::Draining);
    CPPUNIT_ASSERT(fixture.KindOf(4) == ErrorKind::Draining);
    CPPUNIT_ASSERT(fixture.Stops().empty());
    for (const StartRun& start : fixture.Starts()) {
      fixture.Finish(start.m_run);
    }
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         fixture.m_agent->Counters().m_refusedForDrain);
  }

  /** Guards against a second start in the zone after a refused connection. */
  void RunThatWasNotSentIsGivenBack()
  {
    ZoneFixture fixture;
    fixture.AddWorker("w2", kWorkerCapacity);
    fixture.SendOffers({ fixture.TaskOffer(1, 1, kLarge) });
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.Finish(fixture.Starts().front().m_run, RunOutcome::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(fixture.KindOf(1) == ErrorKind::Draining);
  }

  void DrainOfOtherZonesChangesNothing()
  {
    ZoneFixture fixture("z2");
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.SendRequestAndTask(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         fixture.Count(EventCode::ZoneDrainStarted));
  }

  /** Guards against an agent that stays out of use after the drain. */
  void ReturnedZoneGetsWorkAgain()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.ClearCommands();
    fixture.ReceiveDrains(fixture.m_entry, kReturned);
    const Announce announce = fixture.Announcements().at(0);
    CPPUNIT_ASSERT_EQUAL(1U, announce.m_load.m_freeSlots);
    CPPUNIT_ASSERT(announce.m_load.m_freeCapacity == kWorkerCapacity);
    fixture.SendRequestAndTask(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  /** Guards against an entry without a store that never learns of a drain. */
  void ChangeIsAnnouncedToAllEntries()
  {
    ZoneFixture fixture("z2");
    fixture.HandleEvent(PeersChanged{ { fixture.m_entry, fixture.m_other } });
    fixture.ClearCommands();
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Announcements().size());
    for (const Announce& announce : fixture.Announcements()) {
      CPPUNIT_ASSERT(announce.m_drains == kDrained);
      CPPUNIT_ASSERT(!announce.m_leaving);
    }
  }

  /** Guards against a drain that ends because an entry with an old list
   * connects. */
  void OlderCopyIsAnsweredWithTheNewerOne()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.Receive(fixture.m_other, EntryHello{});
    fixture.ClearCommands();
    fixture.Advance(seconds(1));
    fixture.ClearCommands();
    fixture.ReceiveDrains(fixture.m_other, { 4, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Announcements().size());
    CPPUNIT_ASSERT(fixture.Announcements()[0].m_drains == kDrained);
    fixture.SendRequestAndTask(1);
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  /** An entry of an earlier version sends hellos without a list. */
  void CorrectionsAreLimited()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.ClearCommands();
    for (int i = 0; i < 9; ++i) {
      fixture.ReceiveDrains(fixture.m_entry, {});
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Announcements().size());
  }

  void SameZonesAtAnotherRevisionCauseNoMessage()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.ClearCommands();
    fixture.ReceiveDrains(fixture.m_entry, { 9, kDrained.m_zones });
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountMessages());
    // The higher revision was adopted, so the list below it is out of date.
    fixture.ReceiveDrains(fixture.m_entry, { 8, {} });
    fixture.SendRequestAndTask(1);
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void StartAndEndAreRecorded()
  {
    ZoneFixture fixture;
    fixture.ReceiveDrains(fixture.m_entry, kDrained);
    fixture.ReceiveDrains(fixture.m_entry, { 6, { "z1" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Count(EventCode::ZoneDrainStarted));
    fixture.ReceiveDrains(fixture.m_entry, { 7, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Count(EventCode::ZoneDrainEnded));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentDrainTest);

} // namespace

} // namespace mulberrysail::core
