#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Dispatch of submissions to agents, admission and retries. */
class EntryDispatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryDispatchTest);
  CPPUNIT_TEST(OwnOffersCountOnTopOfTheReport);
  CPPUNIT_TEST(TheShortestWaitingGoesFirst);
  CPPUNIT_TEST(TeamWithManyRequestsDoesNotStarveOthers);
  CPPUNIT_TEST(RequestThatCannotMeetItsDeadlineIsRefused);
  CPPUNIT_TEST(QueuedRequestIsAnsweredAtItsStartBy);
  CPPUNIT_TEST(QuotaIsSplitWithoutARemainder);
  CPPUNIT_TEST(ARefusedAttemptIsPlacedElsewhere);
  CPPUNIT_TEST(AnUnsentOfferIsPlacedElsewhere);
  CPPUNIT_TEST(LinkResetReconcilesOpenAttempts);
  CPPUNIT_TEST(ARestartedAgentLosesItsAttempts);
  CPPUNIT_TEST(JobWithAFailedTaskReturnsNoOutputs);
  CPPUNIT_TEST(JobBeyondEveryWorkersCapacityIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void OwnOffersCountOnTopOfTheReport()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    EntryFixture entry(policy);
    entry.AddAgent("x", 2);
    entry.AddAgent("y", 2);
    for (int i = 0; i < 5; ++i) {
      entry.Request(milliseconds(100));
    }
    // The reports show four free slots; the fifth request has to wait.
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), entry.Offers().size());
    const EntryFixture::SentOffer done = entry.Offers().front();
    entry.Report(
      done.m_agent, done.m_offer.m_attempt, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), entry.Offers().size());
    CPPUNIT_ASSERT(entry.Offers().back().m_agent == done.m_agent);
  }

  void TheShortestWaitingGoesFirst()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    EntryFixture entry(policy);
    const ProcessId agent = entry.AddAgent("x", 1);
    entry.Request(milliseconds(100));
    entry.Request(milliseconds(900));
    entry.Request(milliseconds(50));
    const AttemptId first = entry.Offers().front().m_offer.m_attempt;
    entry.Report(agent, first, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("payload 3"),
                         entry.Offers().back().m_offer.m_payload);
  }

  void TeamWithManyRequestsDoesNotStarveOthers()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    policy.m_ageing = 1;
    EntryFixture entry(policy);
    const ProcessId agent = entry.AddAgent("x", 1);
    for (int i = 0; i < 8; ++i) {
      entry.Request(milliseconds(200), "a");
    }
    const CallerToken other = entry.Request(milliseconds(200), "b");
    const AttemptId first = entry.Offers().front().m_offer.m_attempt;
    entry.Report(agent, first, AttemptFate::Completed, 1);
    const AttemptId second = entry.Offers().back().m_offer.m_attempt;
    entry.Report(agent, second, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL("payload " + std::to_string(other.m_value),
                         entry.Offers().at(1).m_offer.m_payload);
  }

  void RequestThatCannotMeetItsDeadlineIsRefused()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    std::optional<Answer> refusal;
    for (int i = 0; i < 60 && !refusal; ++i) {
      refusal = entry.AnswerOf(entry.Request(milliseconds(500)));
    }
    CPPUNIT_ASSERT(refusal);
    CPPUNIT_ASSERT(refusal->m_kind == ErrorKind::DeadlineUnreachable);
    CPPUNIT_ASSERT(refusal->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(refusal->m_retryAfter > Duration::zero());
  }

  void QueuedRequestIsAnsweredAtItsStartBy()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    EntryFixture entry(policy);
    entry.AddAgent("x", 1);
    entry.Request(milliseconds(100));
    const CallerToken waiting = entry.Request(milliseconds(1000));
    entry.Advance(milliseconds(9100));
    const std::optional<Answer> answer = entry.AnswerOf(waiting);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::DeadlinePassedQueued);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
  }

  void QuotaIsSplitWithoutARemainder()
  {
    // The team's quota of nine is split over two entries; this entry is first
    // by name and gets five.
    EntryFixture entry;
    entry.HandleEvent(PeersChanged{ { { "entry2", { 1 } } } });
    entry.AddAgent("x", 20);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 9; ++i) {
      admitted += entry.AnswerOf(entry.Request(milliseconds(10), "a")) ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(5U, admitted);
  }

  void ARefusedAttemptIsPlacedElsewhere()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    const CallerToken caller = entry.Request(milliseconds(100));
    const EntryFixture::SentOffer first = entry.Offers().front();
    entry.Report(first.m_agent,
                 first.m_offer.m_attempt,
                 AttemptFate::Refused,
                 0,
                 ErrorKind::Draining);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Offers().size());
    CPPUNIT_ASSERT(entry.Offers().back().m_agent != first.m_agent);
    CPPUNIT_ASSERT(!entry.AnswerOf(caller));
  }

  void AnUnsentOfferIsPlacedElsewhere()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    entry.Request(milliseconds(100));
    const auto sent = entry.Sent<OfferBatch>();
    entry.HandleEvent(SendFailed{ sent.front().first, sent.front().second });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Offers().size());
    CPPUNIT_ASSERT(entry.Offers().back().m_agent != sent.front().first);
  }

  void LinkResetReconcilesOpenAttempts()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.Request(milliseconds(100));
    const AttemptId attempt = entry.Offers().front().m_offer.m_attempt;
    entry.HandleEvent(LinkReset{ agent });
    CPPUNIT_ASSERT(entry.Sent<Reconcile>().front().second.m_attempts.front() ==
                   attempt);
    entry.Report(agent, attempt, AttemptFate::Completed, 1);
    // A repeated outcome, or one from another incarnation, is dropped.
    entry.Report(agent, attempt, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT(entry.AnswerOf(caller)->m_kind == ErrorKind::None);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         entry.m_entry->Counters().m_repliesDropped);
  }

  void ARestartedAgentLosesItsAttempts()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    const CallerToken caller = entry.Request(milliseconds(100));
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_load.m_sequence = 1;
    entry.Receive({ "x", { 2 } }, std::move(announce));
    const std::optional<Answer> answer = entry.AnswerOf(caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::AgentLost);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
  }

  void JobWithAFailedTaskReturnsNoOutputs()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddWorkerAgent("x", { 4000, 1024, 0 });
    SubmitJob job;
    job.m_caller = { 100 };
    job.m_service = "photo";
    TaskSpec task;
    task.m_need = { 1000, 10, 0 };
    job.m_tasks.assign(2, task);
    entry.HandleEvent(job);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Sent<OfferBatch>().size());
    const std::vector<EntryFixture::SentOffer> offers = entry.Offers();
    entry.Report(agent, offers[0].m_offer.m_attempt, AttemptFate::Completed, 0);
    CPPUNIT_ASSERT(!entry.AnswerOf(job.m_caller));
    entry.Report(agent, offers[1].m_offer.m_attempt, AttemptFate::Failed, 0);
    const std::optional<Answer> answer = entry.AnswerOf(job.m_caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::JobFailed);
    CPPUNIT_ASSERT(answer->m_outputs.empty());
    CPPUNIT_ASSERT(entry.m_entry->Idle());
  }

  void JobBeyondEveryWorkersCapacityIsRefused()
  {
    EntryFixture entry;
    entry.AddWorkerAgent("x", { 4000, 1024, 0 });
    SubmitJob job;
    job.m_caller = { 100 };
    job.m_service = "photo";
    TaskSpec task;
    task.m_need = { 1000, 10, 1 };
    job.m_tasks.assign(1, task);
    entry.HandleEvent(job);
    CPPUNIT_ASSERT(entry.AnswerOf(job.m_caller)->m_kind ==
                   ErrorKind::Unsatisfiable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDispatchTest);

} // namespace

} // namespace mulberrysail::core
