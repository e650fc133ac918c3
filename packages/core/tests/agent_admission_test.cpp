#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Resources kSmall{ 1000, 256, 0 };
constexpr Resources kWorkerCapacity{ 4000, 4096, 0 };

/** Refusal of offers and the error kinds reported for it. */
class AgentAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentAdmissionTest);
  CPPUNIT_TEST(OfferForAnotherIncarnationIsRefused);
  CPPUNIT_TEST(LateOfferIsRefused);
  CPPUNIT_TEST(RequestWithoutAnEndpointOfItsServiceIsRefused);
  CPPUNIT_TEST(QueuedRequestOfAnExpiredEndpointIsRefused);
  CPPUNIT_TEST(OfferIsRefusedWhenTheQueueIsFull);
  CPPUNIT_TEST(WithoutAQueueOnlyImmediateStartsAreAccepted);
  CPPUNIT_TEST(TaskBeyondEveryWorkersCapacityIsRefused);
  CPPUNIT_TEST(DuplicateNeverStartsAgain);
  CPPUNIT_TEST(RefusedOfferStaysRefused);
  CPPUNIT_TEST(SameIdOfAnotherEntryIsAnotherAttempt);
  CPPUNIT_TEST(DuplicateOfAnEvictedRunIsLost);
  CPPUNIT_TEST(DrainRefusesNewAndQueuedAndFinishesRunning);
  CPPUNIT_TEST(QueuedAttemptsOfARestartedEntryAreDropped);
  CPPUNIT_TEST_SUITE_END();

  static void AssertRefused(const AgentFixture& aFixture,
                            std::uint64_t aAttempt,
                            ErrorKind aKind)
  {
    const std::optional<AttemptReport> report = aFixture.ReportOn(aAttempt);
    CPPUNIT_ASSERT(report && report->m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT_EQUAL(DescribeError(aKind).m_name,
                         DescribeError(report->m_kind).m_name);
  }

public:
  void OfferForAnotherIncarnationIsRefused()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.Receive(
      fixture.m_entry,
      OfferBatch{ Incarnation{ 6 }, 1, { fixture.RequestOffer(1) } });
    AssertRefused(fixture, 1, ErrorKind::StaleIncarnation);
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void LateOfferIsRefused()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    Offer pastStartBy = fixture.RequestOffer(1);
    pastStartBy.m_startBy = fixture.m_now - Duration(1);
    Offer pastDeadline = fixture.RequestOffer(2);
    pastDeadline.m_deadline = fixture.m_now - Duration(1);
    fixture.SendOffers({ pastStartBy, pastDeadline });
    AssertRefused(fixture, 1, ErrorKind::AttemptExpired);
    AssertRefused(fixture, 2, ErrorKind::DeadlinePassedQueued);
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void RequestWithoutAnEndpointOfItsServiceIsRefused()
  {
    AgentFixture fixture;
    fixture.SendOffers({ fixture.RequestOffer(1) });
    AssertRefused(fixture, 1, ErrorKind::NoEndpoint);
    fixture.AddEndpoint(1);
    Offer other = fixture.RequestOffer(2);
    other.m_service = "stock";
    fixture.SendOffers({ other });
    AssertRefused(fixture, 2, ErrorKind::NoEndpoint);
    fixture.HandleEvent(
      EndpointAnnounced{ { "photo", 1, 64, true }, "http://e" });
    fixture.SendOffers({ fixture.RequestOffer(3) });
    AssertRefused(fixture, 3, ErrorKind::NoEndpoint);
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void QueuedRequestOfAnExpiredEndpointIsRefused()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.Advance(milliseconds(2500));
    AssertRefused(fixture, 2, ErrorKind::NoEndpoint);
    CPPUNIT_ASSERT(!fixture.Announcements().back().m_endpoint);
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void OfferIsRefusedWhenTheQueueIsFull()
  {
    AgentPolicy policy;
    policy.m_maxQueuedRequests = 1;
    policy.m_maxQueuedTasks = 1;
    AgentFixture fixture(policy);
    fixture.AddEndpoint(1);
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.SendOffers({ fixture.RequestOffer(2), fixture.RequestOffer(3) });
    AssertRefused(fixture, 3, ErrorKind::QueueFull);
    fixture.SendOffers({ fixture.TaskOffer(4, 9, kSmall) });
    fixture.SendOffers({ fixture.TaskOffer(5, 9, kSmall) });
    fixture.SendOffers({ fixture.TaskOffer(6, 9, kSmall) });
    AssertRefused(fixture, 6, ErrorKind::QueueFull);
    CPPUNIT_ASSERT(!fixture.ReportOn(2) && !fixture.ReportOn(5));
  }

  void WithoutAQueueOnlyImmediateStartsAreAccepted()
  {
    AgentPolicy policy;
    policy.m_maxQueuedTasks = 0;
    policy.m_reserveDeclared = true;
    AgentFixture fixture(policy);
    fixture.AddWorker("w1", { 2000, 4096, 0 });
    fixture.SendOffers({ fixture.TaskOffer(1, 9, kSmall),
                         fixture.TaskOffer(2, 9, kSmall),
                         fixture.TaskOffer(3, 9, kSmall) });
    AssertRefused(fixture, 3, ErrorKind::QueueFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.SendOffers({ fixture.TaskOffer(4, 9, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Starts().size());
  }

  void TaskBeyondEveryWorkersCapacityIsRefused()
  {
    AgentFixture fixture;
    fixture.SendOffers({ fixture.TaskOffer(1, 9, kSmall) });
    AssertRefused(fixture, 1, ErrorKind::NoEndpoint);
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers({ fixture.TaskOffer(2, 9, kWorkerCapacity) });
    AssertRefused(fixture, 2, ErrorKind::Unsatisfiable);
  }

  void DuplicateNeverStartsAgain()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(2);
    const Offer offer = fixture.RequestOffer(1);
    fixture.SendOffers({ offer, offer });
    fixture.SendOffers({ offer });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.SendOffers({ offer });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Reports().size());
    CPPUNIT_ASSERT_EQUAL(std::string("output"), fixture.Reports()[1].m_output);
  }

  void RefusedOfferStaysRefused()
  {
    AgentFixture fixture;
    const Offer offer = fixture.RequestOffer(1);
    fixture.SendOffers({ offer });
    fixture.AddEndpoint(1);
    fixture.SendOffers({ offer });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Reports().size());
  }

  void SameIdOfAnotherEntryIsAnotherAttempt()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(2);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Receive({ "entry2", Incarnation{ 3 } },
                    OfferBatch{ fixture.m_self.m_incarnation,
                                1,
                                { fixture.RequestOffer(1) } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void DuplicateOfAnEvictedRunIsLost()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    const Offer offer = fixture.RequestOffer(1);
    fixture.SendOffers({ offer });
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.Advance(minutes(1));
    fixture.AddEndpoint(1);
    fixture.SendOffers({ offer });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Lost);
  }

  void DrainRefusesNewAndQueuedAndFinishesRunning()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.SendOffers(
      { fixture.TaskOffer(3, 9, kSmall), fixture.TaskOffer(4, 9, kSmall) });
    fixture.HandleEvent(DrainRequested{});
    CPPUNIT_ASSERT(fixture.Announcements().back().m_leaving);
    AssertRefused(fixture, 2, ErrorKind::Draining);
    AssertRefused(fixture, 4, ErrorKind::Draining);
    fixture.SendOffers({ fixture.RequestOffer(5) });
    AssertRefused(fixture, 5, ErrorKind::Draining);
    CPPUNIT_ASSERT(!fixture.m_agent->Idle());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT(!fixture.m_agent->Idle());
    fixture.Finish(fixture.Starts()[1].m_run);
    CPPUNIT_ASSERT(fixture.m_agent->Idle());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.ReportOn(3)->m_fate == AttemptFate::Completed);
  }

  void QueuedAttemptsOfARestartedEntryAreDropped()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.Receive({ "entry1", Incarnation{ 4 } }, EntryHello{});
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAdmissionTest);

} // namespace

} // namespace mulberrysail::core
