#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

/** The lease under which an entry's attempts may start and run at an agent. */
class AgentAttemptLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentAttemptLeaseTest);
  CPPUNIT_TEST(LateOfferIsRefusedThoughAFreshMessageFollows);
  CPPUNIT_TEST(OfferWithinTheLeaseStarts);
  CPPUNIT_TEST(MessagesThatRenewNoLeaseKeepNoRun);
  CPPUNIT_TEST(RenewalThatWasLongInTransitKeepsNoRun);
  CPPUNIT_TEST(LeaseGrantedInTheFutureCountsFromItsReceipt);
  CPPUNIT_TEST(LapsedLeaseIsNotRevivedByAMessageThatIsReadFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void LateOfferIsRefusedThoughAFreshMessageFollows()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer(fixture, 1, "a", fixture.m_now - milliseconds(601));
    Renew(fixture, fixture.m_now);
    fixture.Advance(milliseconds(100));
    CPPUNIT_ASSERT(fixture.Starts().empty());
    const std::optional<AttemptReport> report = fixture.ReportOn(1);
    CPPUNIT_ASSERT(report && report->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(report->m_kind == ErrorKind::AttemptExpired);
  }

  void OfferWithinTheLeaseStarts()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer(fixture, 1, "a", fixture.m_now - milliseconds(590));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void MessagesThatRenewNoLeaseKeepNoRun()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer(fixture, 1, "a", fixture.m_now);
    for (int i = 0; i < 5; ++i) {
      fixture.Advance(milliseconds(110));
      fixture.Receive(fixture.m_entry, EntryHello{});
      fixture.Receive(fixture.m_entry, Reconcile{ { AttemptId{ 1 } } });
    }
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  /** All messages are late from the first on, so that the shortest transit
   * tells nothing. */
  void RenewalThatWasLongInTransitKeepsNoRun()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    const Duration clockOffset = hours(5);
    const auto receiveLate = [&](Message aMessage) {
      fixture.HandleEvent(
        MessageReceived{ fixture.m_entry,
                         std::move(aMessage),
                         fixture.m_now + clockOffset - milliseconds(400) });
    };
    OfferBatch batch{ fixture.m_self.m_incarnation,
                      1,
                      { fixture.NamedOffer(1, "a") } };
    batch.m_leaseGrantedAt = fixture.m_now - milliseconds(400);
    const Instant end = *batch.m_leaseGrantedAt + milliseconds(600);
    receiveLate(batch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Advance(end - fixture.m_now + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void LeaseGrantedInTheFutureCountsFromItsReceipt()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer(fixture, 1, "a", fixture.m_now + hours(1));
    fixture.Advance(milliseconds(601));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

  void LapsedLeaseIsNotRevivedByAMessageThatIsReadFirst()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    Offer(fixture, 1, "a", fixture.m_now);
    // The agent stands still, so no timer fires before the message is read.
    fixture.m_now += milliseconds(700);
    Renew(fixture, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
  }

private:
  static void Offer(LeaseFixture& aFixture,
                    std::uint64_t aAttempt,
                    const std::string& aName,
                    Instant aGrantedAt)
  {
    OfferBatch batch{ aFixture.m_self.m_incarnation,
                      aAttempt,
                      { aFixture.NamedOffer(aAttempt, aName) } };
    batch.m_leaseGrantedAt = aGrantedAt;
    aFixture.Receive(aFixture.m_entry, std::move(batch));
  }

  static void Renew(LeaseFixture& aFixture, Instant aGrantedAt)
  {
    EntryHello hello;
    hello.m_leaseGrantedAt = aGrantedAt;
    aFixture.Receive(aFixture.m_entry, std::move(hello));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAttemptLeaseTest);

} // namespace

} // namespace mulberrysail::core
