#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Need of one task. */
constexpr Resources kNeed{ 6000, 600, 0 };
constexpr Resources kTwoNeeds{ 12000, 1200, 0 };
constexpr Duration kGrant = milliseconds(5);

/** An agent without a queue whose only worker is fully occupied by a task of
 * one entry. Two other entries wait for its capacity, the task of the second
 * one must start first. */
struct WaitingEntries
{
  explicit WaitingEntries(Resources aCapacity = kNeed, Duration aGrant = kGrant)
    : m_fixture(MakePolicy(aGrant))
  {
    m_fixture.AddWorker("worker", aCapacity);
    m_fixture.SendOffers({ m_fixture.TaskOffer(1, 1, aCapacity) });
    m_run = m_fixture.Starts().at(0).m_run;
    // Offers that are refused make the mean need that of one task.
    for (std::uint64_t i = 0; i < 256; ++i) {
      m_fixture.SendOffers({ m_fixture.TaskOffer(1000 + i, 1, kNeed) });
    }
    m_fixture.Receive(m_late, Hello(kNeed, milliseconds(400)));
    m_fixture.Receive(m_early, Hello(kNeed, milliseconds(200)));
    m_fixture.Advance(milliseconds(20));
    m_fixture.ClearCommands();
  }

  EntryHello Hello(Resources aNeed, Duration aDispatchIn) const
  {
    EntryHello hello;
    hello.m_subscribeFor = seconds(2);
    hello.m_demand =
      Demand{ aNeed.m_milliCores,
              m_fixture.m_now + aDispatchIn,
              { { 0, milliseconds(100) }, { 2, milliseconds(300) } } };
    return hello;
  }

  void FreeCapacity()
  {
    const RunId run = m_run;
    m_fixture.Finish(run);
  }

  /** Offers a task and returns the reason of its refusal. */
  ErrorKind OfferTask(const ProcessId& aEntry, std::uint64_t aAttempt)
  {
    OfferBatch batch;
    batch.m_agentIncarnation = m_fixture.m_self.m_incarnation;
    batch.m_sequence = aAttempt;
    batch.m_offers = { m_fixture.TaskOffer(aAttempt, aAttempt, kNeed) };
    m_fixture.ClearCommands();
    m_fixture.Receive(aEntry, batch);
    const std::optional<AttemptReport> report = m_fixture.ReportOn(aAttempt);
    return report ? report->m_kind : ErrorKind::None;
  }

  /** @return the last load that was sent to the entry in a report since the
   * last ClearCommands(). */
  std::optional<LoadReport> LoadSentTo(const ProcessId& aEntry) const
  {
    std::optional<LoadReport> load;
    for (const AgentCommand& command : m_fixture.m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      if (send == nullptr || send->m_to != aEntry) {
        continue;
      }
      if (const ReportBatch* batch =
            std::get_if<ReportBatch>(&send->m_message)) {
        load = batch->m_load;
      }
    }
    return load;
  }

  LoadReport AskLoad(const ProcessId& aEntry)
  {
    m_fixture.ClearCommands();
    m_fixture.Receive(aEntry, Reconcile{});
    return LoadSentTo(aEntry).value();
  }

  static AgentPolicy MakePolicy(Duration aGrant)
  {
    AgentPolicy policy;
    policy.m_maxQueuedTasks = 0;
    policy.m_reserveDeclared = true;
    policy.m_capacityGrant = aGrant;
    return policy;
  }

  AgentFixture m_fixture;
  const ProcessId m_late{ "late", Incarnation{ 1 } };
  const ProcessId m_early{ "early", Incarnation{ 1 } };
  RunId m_run;
};

/** Free capacity that is held for one entry, and the statements of waiting work
 * on which that depends. */
class AgentGrantTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentGrantTest);
  CPPUNIT_TEST(CapacityIsGrantedToTheEntryThatMustStartFirst);
  CPPUNIT_TEST(OfferWithinAGrantIsNotRefused);
  CPPUNIT_TEST(NothingIsHeldWithoutTheSetting);
  CPPUNIT_TEST(GrantOfASilentEntryEndsAfterItsTime);
  CPPUNIT_TEST(GrantEndsWhenNoWorkWaits);
  CPPUNIT_TEST(GrantEndsWhenItsEntryDisconnects);
  CPPUNIT_TEST(GrantEndsWhenItsEntryRestarts);
  CPPUNIT_TEST(GrantShrinksWithEachOffer);
  CPPUNIT_TEST(EntriesWithoutAStatementGetTheRest);
  CPPUNIT_TEST(DemandOfOthersExcludesTheReceiver);
  CPPUNIT_TEST(StatementsDecayWithinASecond);
  CPPUNIT_TEST(RestartedAgentHasNoFigures);
  CPPUNIT_TEST_SUITE_END();

public:
  void CapacityIsGrantedToTheEntryThatMustStartFirst()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(!waiting.LoadSentTo(waiting.m_late));
    CPPUNIT_ASSERT(waiting.LoadSentTo(waiting.m_early)->m_freeCapacity ==
                   kNeed);
    const LoadReport owner =
      waiting.LoadSentTo(waiting.m_fixture.m_entry).value();
    CPPUNIT_ASSERT_EQUAL(0U, owner.m_freeCapacity.m_milliCores);
  }

  void OfferWithinAGrantIsNotRefused()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) ==
                   ErrorKind::QueueFull);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_early, 3) == ErrorKind::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, waiting.m_fixture.Starts().size());
    const AgentCounters counters = waiting.m_fixture.m_agent->Counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, counters.m_grantsMade);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, counters.m_offersWithinGrant);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, counters.m_grantsExpired);
  }

  void NothingIsHeldWithoutTheSetting()
  {
    WaitingEntries waiting(kNeed, Duration::zero());
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  /** An entry that died or stands still must neither keep the capacity nor get
   * it again and again because its task must start first. */
  void GrantOfASilentEntryEndsAfterItsTime()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    waiting.m_fixture.ClearCommands();
    waiting.m_fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT(waiting.LoadSentTo(waiting.m_late)->m_freeCapacity == kNeed);
    CPPUNIT_ASSERT(!waiting.LoadSentTo(waiting.m_early));
    const AgentCounters counters = waiting.m_fixture.m_agent->Counters();
    CPPUNIT_ASSERT(counters.m_grantsExpired >= 1);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  void GrantEndsWhenNoWorkWaits()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 9) ==
                   ErrorKind::QueueFull);
    EntryHello none;
    none.m_demand = Demand{};
    waiting.m_fixture.Receive(waiting.m_early, none);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  void GrantEndsWhenItsEntryDisconnects()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 9) ==
                   ErrorKind::QueueFull);
    waiting.m_fixture.HandleEvent(SendFailed{ waiting.m_early, ReportBatch{} });
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  void GrantEndsWhenItsEntryRestarts()
  {
    WaitingEntries waiting;
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 9) ==
                   ErrorKind::QueueFull);
    waiting.m_fixture.Receive({ "early", Incarnation{ 2 } }, EntryHello{});
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  void GrantShrinksWithEachOffer()
  {
    WaitingEntries waiting(kTwoNeeds);
    waiting.m_fixture.Receive(waiting.m_early,
                              waiting.Hello(kTwoNeeds, milliseconds(100)));
    waiting.m_fixture.Receive(
      waiting.m_late, EntryHello{ {}, false, {}, false, 0, {}, Demand{} });
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_early, 2) == ErrorKind::None);
    // The second half is still held, the first one is in use.
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 3) ==
                   ErrorKind::QueueFull);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_early, 4) == ErrorKind::None);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_early, 5) ==
                   ErrorKind::QueueFull);
  }

  void EntriesWithoutAStatementGetTheRest()
  {
    WaitingEntries waiting(kTwoNeeds);
    const ProcessId older{ "older", Incarnation{ 1 } };
    EntryHello hello;
    hello.m_subscribeFor = seconds(2);
    waiting.m_fixture.Receive(older, hello);
    waiting.m_fixture.Receive(
      waiting.m_late, EntryHello{ {}, false, {}, false, 0, {}, Demand{} });
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(older, 2) == ErrorKind::None);
    CPPUNIT_ASSERT(waiting.OfferTask(older, 3) == ErrorKind::QueueFull);
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_early, 4) == ErrorKind::None);
  }

  void DemandOfOthersExcludesTheReceiver()
  {
    WaitingEntries waiting;
    const LoadReport toEarly = waiting.AskLoad(waiting.m_early);
    const LoadReport toOwner = waiting.AskLoad(waiting.m_fixture.m_entry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, toEarly.m_demandOfOthers.size());
    CPPUNIT_ASSERT_EQUAL(2U, toEarly.m_demandOfOthers[1].m_priority);
    // The statements are 20 ms old.
    CPPUNIT_ASSERT(toEarly.m_demandOfOthers[0].m_coreTime == milliseconds(98));
    CPPUNIT_ASSERT(toEarly.m_demandOfOthers[1].m_coreTime == milliseconds(294));
    CPPUNIT_ASSERT(toOwner.m_demandOfOthers[0].m_coreTime == milliseconds(196));
  }

  void StatementsDecayWithinASecond()
  {
    WaitingEntries waiting;
    waiting.m_fixture.Advance(milliseconds(480));
    CPPUNIT_ASSERT(
      waiting.AskLoad(waiting.m_early).m_demandOfOthers[0].m_coreTime ==
      milliseconds(50));
    waiting.m_fixture.Advance(milliseconds(500));
    CPPUNIT_ASSERT(waiting.AskLoad(waiting.m_early).m_demandOfOthers.empty());
    // Nothing is held for entries whose statements have decayed.
    waiting.FreeCapacity();
    CPPUNIT_ASSERT(waiting.OfferTask(waiting.m_late, 2) == ErrorKind::None);
  }

  void RestartedAgentHasNoFigures()
  {
    AgentFixture fixture(WaitingEntries::MakePolicy(kGrant));
    fixture.AddWorker("worker", kNeed);
    const LoadReport load = fixture.Announcements().back().m_load;
    CPPUNIT_ASSERT(load.m_demandOfOthers.empty());
    CPPUNIT_ASSERT(load.m_freeCapacity == kNeed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentGrantTest);

} // namespace

} // namespace mulberrysail::core
