#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** An agent without a queue whose only worker is fully occupied by a task of
 * one entry, while five other entries subscribe to its free capacity. */
struct Subscribers
{
  Subscribers()
    : m_fixture(MakePolicy())
  {
    m_fixture.AddWorker("worker", kCapacity);
    m_fixture.SendOffers({ m_fixture.TaskOffer(1, 1, kCapacity) });
    m_run = m_fixture.Starts().at(0).m_run;
    for (std::uint64_t i = 2; i < 7; ++i) {
      m_entries.push_back({ "entry" + std::to_string(i), Incarnation{ 1 } });
      m_fixture.Receive(m_entries.back(), EntryHello{ {}, false, seconds(2) });
      m_fixture.Receive(m_entries.back(), Reconcile{});
    }
    m_fixture.Advance(milliseconds(60));
  }

  void OfferTask(const ProcessId& aEntry, Instant aDispatchTime)
  {
    OfferBatch batch;
    batch.m_agentIncarnation = m_fixture.m_self.m_incarnation;
    batch.m_sequence = 1;
    batch.m_offers = { m_fixture.TaskOffer(2, 2, kCapacity) };
    batch.m_offers[0].m_dispatchTime = aDispatchTime;
    batch.m_subscribeFor = seconds(2);
    m_fixture.Receive(aEntry, batch);
  }

  void FreeCapacityForOneTask()
  {
    m_fixture.ClearCommands();
    const RunId run = m_run;
    m_fixture.Finish(run);
  }

  /** @return the subscribers that were sent a load report. */
  std::set<ProcessId> NotifiedSinceClear() const
  {
    std::set<ProcessId> notified;
    for (const AgentCommand& command : m_fixture.m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      if (send != nullptr && send->m_to != m_fixture.m_entry &&
          std::holds_alternative<ReportBatch>(send->m_message)) {
        notified.insert(send->m_to);
      }
    }
    return notified;
  }

  static AgentPolicy MakePolicy()
  {
    AgentPolicy policy;
    policy.m_maxQueuedTasks = 0;
    policy.m_reserveDeclared = true;
    return policy;
  }

  static constexpr Resources kCapacity{ 6000, 6000, 0 };
  AgentFixture m_fixture;
  std::vector<ProcessId> m_entries;
  RunId m_run;
};

/** Messages to entries: their content and their number. */
class AgentReportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentReportTest);
  CPPUNIT_TEST(AnnounceFollowsFirstContactAndLinkReset);
  CPPUNIT_TEST(HeartbeatsAreSentOnlyWithoutOtherMessages);
  CPPUNIT_TEST(HeartbeatsStopWhenTheEntryIsRemoved);
  CPPUNIT_TEST(OutcomesAreSentTogetherWithTheLoad);
  CPPUNIT_TEST(LoadReportSequenceIncreases);
  CPPUNIT_TEST(LoadIsPushedOnlyToSubscribers);
  CPPUNIT_TEST(LoadIsPushedAtMostOncePerInterval);
  CPPUNIT_TEST(FreedCapacityIsNotOfferedToMoreEntriesThanCanUseIt);
  CPPUNIT_TEST(UnusedCapacityIsReportedToAllSubscribersInTurn);
  CPPUNIT_TEST(EntryWhoseRefusedTaskMustStartFirstIsNotifiedFirst);
  CPPUNIT_TEST(WaitingEntryUsesItsOwnFreedCapacityFirst);
  CPPUNIT_TEST(OffersTellWhetherMoreWorkWaits);
  CPPUNIT_TEST(UnsentReportsAreSentLater);
  CPPUNIT_TEST(RendezvousMovesOnlyKeysOfTheRemovedAgent);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<ReportBatch> Batches(const AgentFixture& aFixture)
  {
    std::vector<ReportBatch> batches;
    for (const AgentCommand& command : aFixture.m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      if (send == nullptr) {
        continue;
      }
      if (const ReportBatch* batch =
            std::get_if<ReportBatch>(&send->m_message)) {
        batches.push_back(*batch);
      }
    }
    return batches;
  }

  static void OccupySlot(AgentFixture& aFixture,
                         const ProcessId& aEntry,
                         std::uint64_t aAttempt)
  {
    aFixture.Receive(aEntry,
                     OfferBatch{ aFixture.m_self.m_incarnation,
                                 aAttempt,
                                 { aFixture.RequestOffer(aAttempt) } });
  }

  static std::size_t CountSentTo(const AgentFixture& aFixture,
                                 const ProcessId& aEntry)
  {
    std::size_t count = 0;
    for (const AgentCommand& command : aFixture.m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      count += send != nullptr && send->m_to == aEntry ? 1 : 0;
    }
    return count;
  }

public:
  void AnnounceFollowsFirstContactAndLinkReset()
  {
    AgentFixture fixture;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Announcements().size());
    fixture.Receive({ "entry2", Incarnation{ 1 } }, EntryHello{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Announcements().size());
    fixture.Receive({ "entry2", Incarnation{ 1 } }, EntryHello{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Announcements().size());
    fixture.HandleEvent(LinkReset{ { "entry2", Incarnation{ 1 } } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Announcements().size());
  }

  void HeartbeatsAreSentOnlyWithoutOtherMessages()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(1500));
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.ClearCommands();
    fixture.AddEndpoint(1);
    fixture.Advance(milliseconds(1999));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountMessages());
    fixture.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Announcements().size());
  }

  void HeartbeatsStopWhenTheEntryIsRemoved()
  {
    AgentFixture fixture;
    fixture.HandleEvent(PeersChanged{});
    fixture.Advance(seconds(6));
    fixture.ClearCommands();
    fixture.Advance(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountMessages());
  }

  void OutcomesAreSentTogetherWithTheLoad()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    Offer late = fixture.RequestOffer(2);
    late.m_startBy = fixture.m_now + milliseconds(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.SendOffers({ late });
    fixture.ClearCommands();
    fixture.m_now += milliseconds(2);
    fixture.HandleEvent(RunFinished{ RunId{}, RunOutcome::Lost, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.CountMessages());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Reports().size());
    const LoadReport load = Batches(fixture).at(0).m_load;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, load.m_lastOfferSequence);
    CPPUNIT_ASSERT(load.m_reportedAt == fixture.m_now);
  }

  void LoadReportSequenceIncreases()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    std::uint64_t last = fixture.Announcements().back().m_load.m_sequence;
    for (int i = 0; i < 3; ++i) {
      fixture.Receive(fixture.m_entry, Reconcile{});
      const std::uint64_t next = Batches(fixture).back().m_load.m_sequence;
      CPPUNIT_ASSERT(next > last);
      last = next;
    }
  }

  void LoadIsPushedOnlyToSubscribers()
  {
    AgentFixture fixture;
    const ProcessId idle{ "entry2", Incarnation{ 1 } };
    const ProcessId busy{ "entry3", Incarnation{ 1 } };
    fixture.AddEndpoint(1);
    fixture.Receive(idle, EntryHello{});
    fixture.Receive(busy, EntryHello{});
    OccupySlot(fixture, busy, 1);
    const RunId first = fixture.Starts().at(0).m_run;
    // A new subscriber is sent the load at once: no slot is free.
    fixture.Receive(fixture.m_entry, EntryHello{ {}, false, seconds(1) });
    fixture.Receive(fixture.m_entry, Reconcile{});
    fixture.Advance(milliseconds(60));
    fixture.ClearCommands();
    fixture.Finish(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountSentTo(fixture, busy));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountSentTo(fixture, idle));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         CountSentTo(fixture, fixture.m_entry));
    // The load is not pushed when a slot is taken, nor when a slot becomes free
    // after the subscription has expired.
    fixture.ClearCommands();
    OccupySlot(fixture, busy, 2);
    const RunId second = fixture.Starts().at(0).m_run;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         CountSentTo(fixture, fixture.m_entry));
    fixture.Receive(fixture.m_entry, Reconcile{});
    fixture.Advance(seconds(1));
    fixture.ClearCommands();
    fixture.Finish(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         CountSentTo(fixture, fixture.m_entry));
  }

  void LoadIsPushedAtMostOncePerInterval()
  {
    AgentFixture fixture;
    const ProcessId busy{ "entry2", Incarnation{ 1 } };
    fixture.AddEndpoint(1);
    fixture.Receive(fixture.m_entry, EntryHello{ {}, false, seconds(2) });
    fixture.Receive(busy, EntryHello{});
    fixture.Advance(milliseconds(50));
    std::size_t pushed = 0;
    for (std::uint64_t i = 1; i <= 20; ++i) {
      OccupySlot(fixture, busy, i);
      const RunId run = fixture.Starts().back().m_run;
      // The reply to this Reconcile reports no free slot to the subscriber.
      fixture.Receive(fixture.m_entry, Reconcile{});
      fixture.ClearCommands();
      fixture.Finish(run);
      fixture.Advance(milliseconds(5));
      pushed += CountSentTo(fixture, fixture.m_entry);
    }
    // The minimum interval of 10 ms starts at the reply to the subscriber's
    // last Reconcile.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, pushed);
    fixture.ClearCommands();
    fixture.Advance(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         CountSentTo(fixture, fixture.m_entry));
  }

  void FreedCapacityIsNotOfferedToMoreEntriesThanCanUseIt()
  {
    Subscribers subscribers;
    subscribers.FreeCapacityForOneTask();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         subscribers.NotifiedSinceClear().size());
  }

  void UnusedCapacityIsReportedToAllSubscribersInTurn()
  {
    Subscribers subscribers;
    subscribers.FreeCapacityForOneTask();
    subscribers.m_fixture.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(subscribers.m_entries.size(),
                         subscribers.NotifiedSinceClear().size());
  }

  void EntryWhoseRefusedTaskMustStartFirstIsNotifiedFirst()
  {
    Subscribers subscribers;
    const Instant now = subscribers.m_fixture.m_now;
    subscribers.OfferTask(subscribers.m_entries[1], now + seconds(2));
    subscribers.m_fixture.Advance(milliseconds(20));
    subscribers.OfferTask(subscribers.m_entries[3], now + seconds(1));
    subscribers.m_fixture.Advance(milliseconds(20));
    subscribers.FreeCapacityForOneTask();
    CPPUNIT_ASSERT(subscribers.NotifiedSinceClear() ==
                   std::set<ProcessId>{ subscribers.m_entries[3] });
  }

  void WaitingEntryUsesItsOwnFreedCapacityFirst()
  {
    Subscribers subscribers;
    subscribers.m_fixture.Receive(subscribers.m_fixture.m_entry,
                                  EntryHello{ {}, false, seconds(2) });
    subscribers.FreeCapacityForOneTask();
    CPPUNIT_ASSERT(subscribers.NotifiedSinceClear().empty());
    subscribers.m_fixture.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         subscribers.NotifiedSinceClear().size());
  }

  void OffersTellWhetherMoreWorkWaits()
  {
    Subscribers subscribers;
    const ProcessId& entry = subscribers.m_entries[2];
    OfferBatch batch;
    batch.m_agentIncarnation = subscribers.m_fixture.m_self.m_incarnation;
    batch.m_sequence = 1;
    batch.m_offers = { subscribers.m_fixture.TaskOffer(
      2, 2, Subscribers::kCapacity) };
    subscribers.m_fixture.Receive(entry, batch);
    subscribers.m_fixture.Advance(milliseconds(20));
    subscribers.FreeCapacityForOneTask();
    subscribers.m_fixture.Advance(milliseconds(100));
    // The other four subscribers are notified.
    CPPUNIT_ASSERT_EQUAL(subscribers.m_entries.size() - 1,
                         subscribers.NotifiedSinceClear().size());
    CPPUNIT_ASSERT(!subscribers.NotifiedSinceClear().contains(entry));
  }

  void UnsentReportsAreSentLater()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Finish(fixture.Starts()[0].m_run);
    const ReportBatch unsent = Batches(fixture).back();
    fixture.ClearCommands();
    fixture.HandleEvent(SendFailed{ fixture.m_entry, unsent });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.CountMessages());
    CPPUNIT_ASSERT(!fixture.m_agent->Idle());
    fixture.HandleEvent(LinkReset{ fixture.m_entry });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.m_agent->Idle());
  }

  void RendezvousMovesOnlyKeysOfTheRemovedAgent()
  {
    const std::vector<std::string> names{ "a1", "a2", "a3", "a4", "a5" };
    std::vector<std::string> fewer(names.begin(), names.end() - 1);
    for (int i = 0; i < 200; ++i) {
      const std::string key = "worker" + std::to_string(i);
      const std::string before = names[RendezvousRank(key, names)[0]];
      const std::string after = fewer[RendezvousRank(key, fewer)[0]];
      CPPUNIT_ASSERT(before == after || before == names.back());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentReportTest);

} // namespace

} // namespace mulberrysail::core
