#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kFenceId = 77;

/** Fencing of caller keys and retention of their outcomes. */
class AgentKeyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentKeyTest);
  CPPUNIT_TEST(UnseenKeyIsFenced);
  CPPUNIT_TEST(RunningKeyIsReportedAndItsOutcomeFollows);
  CPPUNIT_TEST(FinishedKeyIsAnsweredWithItsOutput);
  CPPUNIT_TEST(QueuedKeyThatNeverRunsIsFenced);
  CPPUNIT_TEST(RefusedKeyCountsAsUnseen);
  CPPUNIT_TEST(AttemptsOfOneKeyStartOneRun);
  CPPUNIT_TEST(LowerClaimIsSuperseded);
  CPPUNIT_TEST(OutcomeIsEvictedAfterItsRetention);
  CPPUNIT_TEST(NewIncarnationReportsFullRetention);
  CPPUNIT_TEST(EarlyEvictionShortensReportedRetention);
  CPPUNIT_TEST(FenceQueryAtTheMemoryLimitIsUncertain);
  CPPUNIT_TEST_SUITE_END();

  static Offer KeyOffer(const AgentFixture& aFixture,
                        std::uint64_t aAttempt,
                        std::uint32_t aSubmission,
                        std::uint64_t aClaim = 0,
                        const std::string& aKey = "k")
  {
    Offer offer = aFixture.RequestOffer(aAttempt);
    offer.m_key = CallerKey{ aKey, aSubmission, aClaim };
    return offer;
  }

  static FenceReply QueryFence(AgentFixture& aFixture,
                               std::uint32_t aSubmission,
                               std::uint64_t aClaim = 1,
                               const std::string& aKey = "k")
  {
    aFixture.Receive(aFixture.m_entry,
                     FenceQuery{ FenceId{ kFenceId },
                                 "photo",
                                 { aKey, aSubmission, aClaim },
                                 minutes(10) });
    return aFixture.FenceReplies().back();
  }

public:
  void UnseenKeyIsFenced()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    const FenceReply reply = QueryFence(fixture, 2);
    CPPUNIT_ASSERT(reply.m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(reply.m_kind == ErrorKind::None);
    CPPUNIT_ASSERT(reply.m_fence.m_value == kFenceId);
    fixture.SendOffers({ KeyOffer(fixture, 1, 1) });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::Superseded);
    fixture.SendOffers({ KeyOffer(fixture, 2, 2, 1) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void RunningKeyIsReportedAndItsOutcomeFollows()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ KeyOffer(fixture, 1, 1) });
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_fate == AttemptFate::Running);
    fixture.Finish(fixture.Starts()[0].m_run);
    const FenceReply reply = fixture.FenceReplies().back();
    CPPUNIT_ASSERT(reply.m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("output"), reply.m_output);
  }

  void FinishedKeyIsAnsweredWithItsOutput()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ KeyOffer(fixture, 1, 1) });
    fixture.Finish(fixture.Starts()[0].m_run);
    const FenceReply reply = QueryFence(fixture, 2);
    CPPUNIT_ASSERT(reply.m_fate == AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("output"), reply.m_output);
  }

  void QueuedKeyThatNeverRunsIsFenced()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ fixture.RequestOffer(1) });
    fixture.SendOffers({ KeyOffer(fixture, 2, 1) });
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_fate == AttemptFate::Queued);
    fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ 2 } }, true });
    CPPUNIT_ASSERT(fixture.FenceReplies().back().m_fate ==
                   AttemptFate::Refused);
    fixture.SendOffers({ KeyOffer(fixture, 3, 1) });
    CPPUNIT_ASSERT(fixture.ReportOn(3)->m_kind == ErrorKind::Superseded);
  }

  void RefusedKeyCountsAsUnseen()
  {
    AgentFixture fixture;
    fixture.SendOffers({ KeyOffer(fixture, 1, 1) });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::NoEndpoint);
    fixture.AddEndpoint(1);
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_fate == AttemptFate::Refused);
    fixture.SendOffers({ KeyOffer(fixture, 2, 2, 1) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void AttemptsOfOneKeyStartOneRun()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(4);
    fixture.SendOffers({ KeyOffer(fixture, 1, 1), KeyOffer(fixture, 2, 1) });
    fixture.SendOffers({ KeyOffer(fixture, 3, 2, 9) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_kind == ErrorKind::Superseded);
    CPPUNIT_ASSERT(fixture.ReportOn(3)->m_kind == ErrorKind::Superseded);
  }

  void LowerClaimIsSuperseded()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 5).m_kind == ErrorKind::None);
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 4).m_kind == ErrorKind::Superseded);
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 5).m_kind == ErrorKind::None);
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 6).m_kind == ErrorKind::None);
    fixture.SendOffers({ KeyOffer(fixture, 1, 2, 5) });
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_kind == ErrorKind::Superseded);
    fixture.SendOffers({ KeyOffer(fixture, 2, 2, 6) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void OutcomeIsEvictedAfterItsRetention()
  {
    AgentFixture fixture;
    fixture.AddEndpoint(1);
    fixture.SendOffers({ KeyOffer(fixture, 1, 1) });
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.Advance(minutes(10) - Duration(1));
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_fate == AttemptFate::Completed);
    fixture.Advance(Duration(1));
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_fate == AttemptFate::Refused);
  }

  void NewIncarnationReportsFullRetention()
  {
    AgentFixture fixture;
    fixture.Advance(seconds(30));
    CPPUNIT_ASSERT(QueryFence(fixture, 2).m_recordsCover == minutes(10));
  }

  void EarlyEvictionShortensReportedRetention()
  {
    AgentPolicy policy;
    policy.m_maxRetainedBytes = 8192;
    AgentFixture fixture(policy);
    fixture.Advance(minutes(20));
    fixture.AddEndpoint(1);
    for (std::uint64_t i = 1; i <= 4; ++i) {
      fixture.SendOffers({ KeyOffer(fixture, i, 1, 0, std::to_string(i)) });
      fixture.Finish(fixture.Starts().back().m_run,
                     RunOutcome::Completed,
                     std::string(1000, 'x'));
      fixture.Advance(std::chrono::milliseconds(500));
    }
    // The memory limit holds two outcomes. Key "2" was evicted; its run ended
    // 1.5 s ago.
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 1, "4").m_fate ==
                   AttemptFate::Completed);
    const FenceReply reply = QueryFence(fixture, 2, 1, "2");
    CPPUNIT_ASSERT(reply.m_fate == AttemptFate::Refused);
    CPPUNIT_ASSERT(reply.m_recordsCover < std::chrono::milliseconds(1500));
  }

  void FenceQueryAtTheMemoryLimitIsUncertain()
  {
    AgentPolicy policy;
    policy.m_maxRetainedBytes = 2048;
    AgentFixture fixture(policy);
    CPPUNIT_ASSERT(QueryFence(fixture, 2, 1, "1").m_fate ==
                   AttemptFate::Refused);
    const FenceReply reply = QueryFence(fixture, 2, 1, "2");
    CPPUNIT_ASSERT(reply.m_fate == AttemptFate::Lost);
    CPPUNIT_ASSERT(reply.m_kind == ErrorKind::RepeatUncertain);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentKeyTest);

} // namespace

} // namespace mulberrysail::core
