#include "core/tests/drainfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ZoneDrains kDrained{ 5, { "z1" } };
const ZoneDrains kReturned{ 6, {} };
const ProcessId kPeer{ "entry2", { 4 } };

/** How an entry places work and spreads the list while a zone is drained. */
class EntryDrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryDrainTest);
  CPPUNIT_TEST(AgentsOfADrainedZoneGetNoOffers);
  CPPUNIT_TEST(CoresOfADrainedZoneDoNotCount);
  CPPUNIT_TEST(WaitingWorkIsDispatchedWhenTheZoneReturns);
  CPPUNIT_TEST(EndpointsOfADrainedZoneGetNoRequests);
  CPPUNIT_TEST(NoSubscriptionInADrainedZone);
  CPPUNIT_TEST(NewestCopyApplies);
  CPPUNIT_TEST(CopiesOfAgentsAndPeersApply);
  CPPUNIT_TEST(NewCopyIsSentToAgentsAndPeers);
  CPPUNIT_TEST(LaterRevisionOfAnUnchangedListIsSentToAgents);
  CPPUNIT_TEST(EntryThatShutsDownStillAppliesAndSendsTheCopy);
  CPPUNIT_TEST(OtherShardsSendNoCopy);
  CPPUNIT_TEST(AllHellosCarryTheCopy);
  CPPUNIT_TEST(AgentWithAnotherCopyGetsOneHelloASecond);
  CPPUNIT_TEST(UnresponsiveAgentGetsNoHello);
  CPPUNIT_TEST(RefusedTaskIsPlacedElsewhereAtOnce);
  CPPUNIT_TEST(RefusalsForDrainsDoNotCountAsRetries);
  CPPUNIT_TEST(AgentIsUsedAgainAfterItsRefusal);
  CPPUNIT_TEST(LateRefusalKeepsNoAgentOutOfUse);
  CPPUNIT_TEST(RefusedTaskMayStartUntilTheCallersDeadline);
  CPPUNIT_TEST(RefusalAtShutdownStopsOffers);
  CPPUNIT_TEST(ZoneWithoutAgentsIsRecordedOnce);
  CPPUNIT_TEST(DrainedAgentsKeepCopiesOfTheConfiguration);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against starts in an evacuated zone. */
  void AgentsOfADrainedZoneGetNoOffers()
  {
    DrainFixture fixture;
    const ProcessId drained = fixture.AddZoneAgent("a1", "z1");
    const ProcessId other = fixture.AddZoneAgent("a2", "z2");
    fixture.ApplyDrains(kDrained);
    fixture.Submit("job", 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountOffersTo(drained));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, fixture.CountOffersTo(other));
  }

  /** Guards against jobs that are admitted for cores that get no work. */
  void CoresOfADrainedZoneDoNotCount()
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1");
    fixture.AddZoneAgent("a2", "z1");
    fixture.AddZoneAgent("a3", "z2");
    fixture.ApplyDrains(kDrained);
    std::optional<Answer> refusal;
    for (int i = 0; i < 50 && !refusal; ++i) {
      refusal = fixture.AnswerTo(fixture.Submit("job" + std::to_string(i), 10));
    }
    CPPUNIT_ASSERT(refusal.has_value());
    CPPUNIT_ASSERT_MESSAGE(refusal->m_detail,
                           refusal->m_detail.find(" cores=16 ") !=
                             std::string::npos);
  }

  /** Guards against jobs that wait for another event after the drain. */
  void WaitingWorkIsDispatchedWhenTheZoneReturns()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.ApplyDrains(kDrained);
    fixture.Submit("job", 2);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    fixture.ApplyDrains(kReturned);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.CountOffersTo(agent));
  }

  void EndpointsOfADrainedZoneGetNoRequests()
  {
    DrainFixture fixture;
    const ProcessId drained = fixture.AddAgent("a1", 4);
    Announce announce;
    announce.m_zone = "z1";
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_endpoint = EndpointInfo{ "photo", 4, 64, false };
    announce.m_load.m_sequence = 9;
    announce.m_load.m_reportedAt = fixture.m_now;
    announce.m_load.m_freeSlots = 4;
    const ProcessId inZone{ "a2", { 1 } };
    fixture.Receive(inZone, announce);
    fixture.ApplyDrains(kDrained);
    for (int i = 0; i < 4; ++i) {
      fixture.SubmitRequest(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountOffersTo(inZone));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.CountOffersTo(drained));
  }

  void NoSubscriptionInADrainedZone()
  {
    DrainFixture fixture;
    const ProcessId drained = fixture.AddZoneAgent("a1", "z1");
    const ProcessId other = fixture.AddZoneAgent("a2", "z2");
    fixture.ApplyDrains(kDrained);
    fixture.ReportLoad(other, kDrained.Digest(), {});
    fixture.ReportLoad(drained, kDrained.Digest(), {});
    fixture.ClearCommands();
    fixture.Submit("job", 1);
    CPPUNIT_ASSERT(fixture.HellosTo(drained).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.HellosTo(other).size());
  }

  /** Guards against a drain that ends because an old list arrives late. */
  void NewestCopyApplies()
  {
    DrainFixture fixture;
    fixture.ApplyDrains(kReturned);
    fixture.ApplyDrains(kDrained);
    CPPUNIT_ASSERT(fixture.m_entry->Drains() == kReturned);
    fixture.ApplyDrains({ 7, { "z1", "z2" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         fixture.m_entry->Drains().m_zones.size());
  }

  /** Guards against an entry without a store that ignores drains. */
  void CopiesOfAgentsAndPeersApply()
  {
    DrainFixture fixture;
    const ProcessId drained = fixture.AddZoneAgent("a1", "z1", kDrained);
    fixture.AddZoneAgent("a2", "z2");
    CPPUNIT_ASSERT(fixture.m_entry->Drains() == kDrained);
    fixture.Submit("job", 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountOffersTo(drained));
    PeerHello hello;
    hello.m_drains = { 8, { "z2" } };
    fixture.Receive(kPeer, hello);
    CPPUNIT_ASSERT(fixture.m_entry->Drains() == hello.m_drains);
  }

  void NewCopyIsSentToAgentsAndPeers()
  {
    DrainFixture fixture;
    fixture.HandleEvent(PeersChanged{ { kPeer } });
    const ProcessId first = fixture.AddZoneAgent("a1", "z1");
    const ProcessId second = fixture.AddZoneAgent("a2", "z2");
    fixture.ClearCommands();
    fixture.ApplyDrains(kDrained);
    CPPUNIT_ASSERT(fixture.HellosTo(first).at(0).m_drains == kDrained);
    CPPUNIT_ASSERT(fixture.HellosTo(second).at(0).m_drains == kDrained);
    const auto peers = fixture.Sent<PeerHello>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, peers.size());
    CPPUNIT_ASSERT(peers[0].second.m_drains == kDrained);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.CountEvents(EventCode::DrainedZonesChanged));
    fixture.ClearCommands();
    fixture.ApplyDrains(kDrained);
    CPPUNIT_ASSERT(fixture.m_commands.empty());
  }

  /** Guards against an agent that adopts the list from between two revisions
   * that drain its zone. */
  void LaterRevisionOfAnUnchangedListIsSentToAgents()
  {
    DrainFixture fixture;
    fixture.HandleEvent(PeersChanged{ { kPeer } });
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.ApplyDrains(kDrained);
    fixture.ClearCommands();
    fixture.ApplyDrains({ 9, kDrained.m_zones });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.m_commands.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 },
                         fixture.HellosTo(agent).at(0).m_drains.m_revision);
    // While no zone is drained, a revision causes no message.
    fixture.ApplyDrains({ 10, {} });
    fixture.ClearCommands();
    fixture.ApplyDrains({ 11, {} });
    CPPUNIT_ASSERT(fixture.m_commands.empty());
  }

  /** Its open jobs must not start in the zone either. */
  void EntryThatShutsDownStillAppliesAndSendsTheCopy()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.ReportLoad(agent, 0, {});
    fixture.Submit("job", 1);
    fixture.HandleEvent(DrainRequested{});
    fixture.ClearCommands();
    fixture.ApplyDrains(kDrained);
    fixture.ReportLoad(agent, kDrained.Digest());
    CPPUNIT_ASSERT(fixture.Offers().empty());
    CPPUNIT_ASSERT(fixture.HellosTo(agent).at(0).m_drains == kDrained);
  }

  void OtherShardsSendNoCopy()
  {
    DrainFixture fixture;
    fixture.m_entry = MakeEntry({ "entry1", { 3 } }, 1, QueuePolicy(), 1);
    fixture.HandleEvent(PeersChanged{ { kPeer } });
    fixture.AddZoneAgent("a1", "z1");
    fixture.ClearCommands();
    fixture.ApplyDrains(kDrained);
    CPPUNIT_ASSERT(fixture.m_commands.empty());
    CPPUNIT_ASSERT(fixture.m_entry->Drains() == kDrained);
  }

  /** Guards against an offer that reaches an agent before the list does. */
  void AllHellosCarryTheCopy()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z2", kDrained);
    fixture.HandleEvent(PeersChanged{ { kPeer } });
    fixture.ClearCommands();
    fixture.HandleEvent(LinkReset{ agent });
    fixture.HandleEvent(LinkReset{ kPeer });
    fixture.Submit("job", 1);
    fixture.Advance(milliseconds(300));
    const std::vector<EntryHello> hellos = fixture.HellosTo(agent);
    CPPUNIT_ASSERT(hellos.size() > 1);
    for (const EntryHello& hello : hellos) {
      CPPUNIT_ASSERT(hello.m_drains == kDrained);
    }
    CPPUNIT_ASSERT(fixture.Sent<PeerHello>().at(0).second.m_drains == kDrained);
  }

  /** A hello may be lost; an agent of an earlier version never reports the
   * digest. */
  void AgentWithAnotherCopyGetsOneHelloASecond()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.ApplyDrains(kDrained);
    fixture.ClearCommands();
    for (int i = 0; i < 25; ++i) {
      fixture.Advance(milliseconds(100));
      fixture.ReportLoad(agent, 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.HellosTo(agent).size());
    fixture.ClearCommands();
    for (int i = 0; i < 25; ++i) {
      fixture.Advance(milliseconds(100));
      fixture.ReportLoad(agent, kDrained.Digest());
    }
    CPPUNIT_ASSERT(fixture.HellosTo(agent).empty());
  }

  /** The agent must end the runs of an entry that it no longer hears; a hello
   * with a new list would keep them alive while they are placed elsewhere. */
  void UnresponsiveAgentGetsNoHello()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.Submit("job", 1);
    fixture.Advance(seconds(1));
    fixture.ClearCommands();
    fixture.ApplyDrains(kDrained);
    CPPUNIT_ASSERT(fixture.HellosTo(agent).empty());
  }

  /** Guards against tasks that wait, or fail, because of a drain. */
  void RefusedTaskIsPlacedElsewhereAtOnce()
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1");
    const CallerToken caller = fixture.Submit("job", 1);
    const EntryFixture::SentOffer first = fixture.Offers().at(0);
    const ProcessId other = fixture.AddZoneAgent("a2", "z2");
    fixture.ReportDraining(first, kDrained.Digest());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.CountOffersTo(other));
    fixture.ReportFate(fixture.Offers().at(1), AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         fixture.m_entry->Counters().m_retries);
  }

  /** An entry abandons a task after 16 retries. */
  void RefusalsForDrainsDoNotCountAsRetries()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    const CallerToken caller = fixture.Submit("job", 1, seconds(20));
    constexpr std::size_t kRefusals = 30;
    for (std::size_t i = 0; i < kRefusals; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 1, fixture.Offers().size());
      fixture.ReportDraining(fixture.Offers().back(), i + 1);
      fixture.ReportLoad(agent, 0);
    }
    fixture.ReportFate(fixture.Offers().back(), AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
  }

  /** Guards against offers that are repeated as fast as they are refused, and
   * against an agent that gets no work after its zone has returned. */
  void AgentIsUsedAgainAfterItsRefusal()
  {
    EntryPolicy policy = QueuePolicy();
    policy.m_agentQueueDepth = 4;
    DrainFixture fixture(policy);
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.Submit("job", 1, seconds(20));
    fixture.ReportDraining(fixture.Offers().at(0), 7);
    fixture.ReportLoad(agent, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.ReportLoad(agent, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  /** A report that could not be sent during the drain arrives after it. */
  void LateRefusalKeepsNoAgentOutOfUse()
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1");
    fixture.Submit("job", 1, seconds(20));
    fixture.ApplyDrains(kDrained);
    fixture.ApplyDrains(kReturned);
    fixture.ReportDraining(fixture.Offers().at(0), 0);
    CPPUNIT_ASSERT(fixture.m_entry->Agents().at(0).m_reachable);
  }

  /** The agent could have started the task until the deadline. */
  void RefusedTaskMayStartUntilTheCallersDeadline()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    const CallerToken caller = fixture.Submit("job", 1);
    // The job's objective is 220 ms.
    fixture.Advance(milliseconds(400));
    fixture.ReportDraining(fixture.Offers().at(0), kDrained.Digest());
    fixture.Advance(milliseconds(100));
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller).has_value());
    fixture.ReportLoad(agent, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    fixture.ReportDraining(fixture.Offers().at(1), kDrained.Digest());
    fixture.Advance(seconds(2));
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind ==
                   ErrorKind::DeadlinePassedQueued);
  }

  /** Without a drain, nothing changes: the agent shuts down. */
  void RefusalAtShutdownStopsOffers()
  {
    DrainFixture fixture;
    fixture.AddZoneAgent("a1", "z1");
    fixture.Submit("job", 1);
    fixture.ReportDraining(fixture.Offers().at(0), 0);
    CPPUNIT_ASSERT(!fixture.m_entry->Agents().at(0).m_reachable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         fixture.m_entry->Counters().m_retries);
  }

  /** Guards against a misspelt zone that nobody notices, and against false
   * warnings of an entry that has just started. */
  void ZoneWithoutAgentsIsRecordedOnce()
  {
    DrainFixture fixture;
    fixture.ApplyDrains({ 5, { "z1", "z9" } });
    fixture.Advance(seconds(1));
    fixture.AddZoneAgent("a1", "z1");
    fixture.Advance(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.CountEvents(EventCode::DrainedZoneUnknown));
    fixture.ApplyDrains({ 6, { "z9" } });
    fixture.Advance(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.CountEvents(EventCode::DrainedZoneUnknown));
  }

  void DrainedAgentsKeepCopiesOfTheConfiguration()
  {
    DrainFixture fixture;
    const ProcessId agent = fixture.AddZoneAgent("a1", "z1");
    fixture.ApplyDrains(kDrained);
    fixture.ClearCommands();
    fixture.HandleEvent(ConfigChanged{
      ParseConfiguration({ 3 }, kQueueDocument).value(), kQueueDocument });
    CPPUNIT_ASSERT(fixture.HellosTo(agent).at(0).m_keepConfig);
    CPPUNIT_ASSERT(fixture.HellosTo(agent).at(0).m_drains == kDrained);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDrainTest);

} // namespace

} // namespace mulberrysail::core
