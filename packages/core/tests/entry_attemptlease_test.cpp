#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

/** The leases that an entry grants to its attempts at agents. */
class EntryAttemptLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryAttemptLeaseTest);
  CPPUNIT_TEST(LateReportDoesNotPostponeTheLeaseOfAnOffer);
  CPPUNIT_TEST(OnlyHeartbeatsAndOffersRenewTheLease);
  CPPUNIT_TEST(RequestReadAfterAFreezeIsRefused);
  CPPUNIT_TEST(LeaseOfAnEntryThatStoodStillCountsFromItsLastReading);
  CPPUNIT_TEST(LeaseIsNeverNewerThanTheLastReading);
  CPPUNIT_TEST_SUITE_END();

public:
  void LateReportDoesNotPostponeTheLeaseOfAnOffer()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const Duration clockOffset = hours(2);
    const auto report = [&](std::uint64_t aSequence, Duration aTransit) {
      ReportBatch batch;
      batch.m_load.m_sequence = aSequence;
      batch.m_load.m_reportedAt = fixture.m_now + clockOffset - aTransit;
      batch.m_load.m_freeCapacity = kWorkerCapacity;
      fixture.Receive(agent, std::move(batch));
    };
    report(100, milliseconds(2));
    report(101, milliseconds(900));
    fixture.Submit("job", 1);
    const std::optional<Instant> granted =
      fixture.Sent<OfferBatch>().at(0).second.m_leaseGrantedAt;
    CPPUNIT_ASSERT(granted);
    CPPUNIT_ASSERT(*granted == fixture.m_now + clockOffset - milliseconds(2));
  }

  void OnlyHeartbeatsAndOffersRenewTheLease()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("first", 1);
    fixture.ClearCommands();
    // The second job waits, so the entry subscribes to free capacity.
    fixture.Submit("second", 1);
    fixture.HandleEvent(LinkReset{ agent });
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      CPPUNIT_ASSERT(!hello.m_leaseGrantedAt);
    }
    CPPUNIT_ASSERT(!fixture.Sent<EntryHello>().empty());
    fixture.ClearCommands();
    fixture.Advance(milliseconds(300));
    CPPUNIT_ASSERT(fixture.Sent<EntryHello>().at(0).second.m_leaseGrantedAt);
  }

  void RequestReadAfterAFreezeIsRefused()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.HandleEvent(CallersRead{ fixture.m_now });
    fixture.Advance(milliseconds(2900));
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1500));
    CPPUNIT_ASSERT(fixture.Offers().empty());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_execution == Execution::NotRun);
  }

  void LeaseOfAnEntryThatStoodStillCountsFromItsLastReading()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const Instant readUntil = fixture.m_now;
    fixture.HandleEvent(CallersRead{ readUntil });
    fixture.Advance(milliseconds(700));
    fixture.Submit("job", 1);
    const OfferBatch batch = fixture.Sent<OfferBatch>().at(0).second;
    CPPUNIT_ASSERT(*batch.m_leaseGrantedAt <= readUntil);
    CPPUNIT_ASSERT(batch.m_offers[0].m_deadline <=
                   readUntil + std::chrono::seconds(2));
  }

  void LeaseIsNeverNewerThanTheLastReading()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const Instant readUntil = fixture.m_now;
    fixture.HandleEvent(CallersRead{ readUntil });
    fixture.Submit("job", 1, std::chrono::seconds(9));
    // The entry learns of no further reading, while its agent answers.
    for (int i = 0; i < 3; ++i) {
      fixture.ClearCommands();
      fixture.Advance(milliseconds(90));
      fixture.Receive(agent, ReportBatch{});
    }
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      CPPUNIT_ASSERT(!hello.m_leaseGrantedAt ||
                     *hello.m_leaseGrantedAt <= readUntil);
    }
    fixture.ClearCommands();
    fixture.Submit("other", 1);
    CPPUNIT_ASSERT(*fixture.Sent<OfferBatch>().at(0).second.m_leaseGrantedAt <=
                   readUntil);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryAttemptLeaseTest);

} // namespace

} // namespace mulberrysail::core
