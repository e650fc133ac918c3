#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Resources kSmall{ 1000, 256, 0 };

/** Revocation and reconciliation of attempts. */
class AgentReconcileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentReconcileTest);
  CPPUNIT_TEST(QueuedAttemptIsRevoked);
  CPPUNIT_TEST(AttemptRevokedBeforeItsOfferNeverStarts);
  CPPUNIT_TEST(RunningTaskIsStoppedOnceAndReportedAtItsEnd);
  CPPUNIT_TEST(RunningRequestIsNotStopped);
  CPPUNIT_TEST(ReconcileReportsEachFate);
  CPPUNIT_TEST(UnknownAttemptIsRefusedPermanently);
  CPPUNIT_TEST(UnknownAttemptStaysRefusedAfterItsRecordIsEvicted);
  CPPUNIT_TEST(EvictedRunIsNeverReportedRefused);
  CPPUNIT_TEST(RunWithADroppedOutputIsReportedLost);
  CPPUNIT_TEST(EmptyReconcileIsAnsweredWithTheLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  void QueuedAttemptIsRevoked()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1), fixture.RequestOffer(2) });
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 2 } }, true });
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Revoked);
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void AttemptRevokedBeforeItsOfferNeverStarts()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Revoked);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void RunningTaskIsStoppedOnceAndReportedAtItsEnd()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers({ fixture.TaskOffer(1, 9, kSmall) });
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, false });
    CPPUNIT_ASSERT(fixture.Stops().empty());
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Stops().size());
    CPPUNIT_ASSERT(fixture.Stops()[0].m_run == fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    fixture.Finish(fixture.Starts()[0].m_run, RunOutcome::Failed);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Failed);
  }

  void RunningRequestIsNotStopped()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    CPPUNIT_ASSERT(fixture.Stops().empty());
  }

  void ReconcileReportsEachFate()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(2);
    fixture.SendOffers({ fixture.RequestOffer(1),
                         fixture.RequestOffer(2),
                         fixture.RequestOffer(3) });
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.SendOffers({ fixture.RequestOffer(4) });
    fixture.ClearCommands();
    fixture.Receive(
      fixture.m_entry,
      Reconcile{
        { AttemptId{ 1 }, AttemptId{ 2 }, AttemptId{ 4 }, AttemptId{ 5 } } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("output"), fixture.ReportOn(1)->m_output);
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_fate == AttemptFate::Running);
    CPPUNIT_ASSERT(fixture.ReportOn(4)->m_fate == AttemptFate::Queued);
    CPPUNIT_ASSERT(fixture.ReportOn(5)->m_fate == AttemptFate::Refused);
  }

  void UnknownAttemptIsRefusedPermanently()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.Receive(fixture.m_entry, Reconcile{ { AttemptId{ 1 } } });
    fixture.SendOffers({ fixture.RequestOffer(1) });
    CPPUNIT_ASSERT(fixture.Starts().empty());
  }

  void UnknownAttemptStaysRefusedAfterItsRecordIsEvicted()
  {
    AgentFixture fixture;
    fixture.Receive(fixture.m_entry, Reconcile{ { AttemptId{ 1 } } });
    fixture.Advance(minutes(5));
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Refused);
    fixture.SendOffers({ fixture.RequestOffer(2) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void EvictedRunIsNeverReportedRefused()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.Advance(minutes(5));
    fixture.ClearCommands();
    fixture.Receive(fixture.m_entry, Reconcile{ { AttemptId{ 1 } } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Lost);
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 1 } }, true });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Lost);
  }

  void RunWithADroppedOutputIsReportedLost()
  {
    AgentPolicy policy;
    policy.m_maxRetainedBytes = 4096;
    AgentFixture fixture(policy);
    fixture.AddEndpoint(1);
    for (std::uint64_t i = 1; i <= 3; ++i) {
      fixture.SendOffers({ fixture.RequestOffer(i) });
      fixture.Finish(fixture.Starts().back().m_run,
                     RunOutcome::Completed,
                     std::string(1000, 'x'));
    }
    fixture.ClearCommands();
    fixture.Receive(fixture.m_entry,
                    Reconcile{ { AttemptId{ 1 }, AttemptId{ 3 } } });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Lost);
    CPPUNIT_ASSERT(fixture.ReportOn(3)->m_fate == AttemptFate::Completed);
  }

  void EmptyReconcileIsAnsweredWithTheLoad()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(3);
    fixture.ClearCommands();
    fixture.Receive(fixture.m_entry, Reconcile{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.CountMessages());
    CPPUNIT_ASSERT(fixture.Reports().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentReconcileTest);

} // namespace

} // namespace mulberrysail::core
