#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Dispatch of submissions to agents, admission and retries. */
class EntryDispatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryDispatchTest);
  CPPUNIT_TEST(OffersNotYetReportedReduceFreeSlots);
  CPPUNIT_TEST(ShortestQueuedRequestIsOfferedFirst);
  CPPUNIT_TEST(TeamWithManyRequestsDoesNotStarveOthers);
  CPPUNIT_TEST(RequestThatCannotMeetItsDeadlineIsRefused);
  CPPUNIT_TEST(QueuedRequestIsAnsweredAtItsStartBy);
  CPPUNIT_TEST(QuotaRemainderGoesToTheFirstEntry);
  CPPUNIT_TEST(RequestIsRetriedOnAnotherAgentAfterARefusal);
  CPPUNIT_TEST(RequestIsRetriedOnAnotherAgentAfterASendFailure);
  CPPUNIT_TEST(LinkResetReconcilesOpenAttempts);
  CPPUNIT_TEST(ARestartedAgentLosesItsAttempts);
  CPPUNIT_TEST(AgentRestartedAfterItsClockWasSetBackIsUsed);
  CPPUNIT_TEST(LateMessageOfAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(JobWithAFailedTaskReturnsNoOutputs);
  CPPUNIT_TEST(JobBeyondEveryWorkersCapacityIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void OffersNotYetReportedReduceFreeSlots()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    EntryFixture fixture(policy);
    fixture.AddAgent("x", 2);
    fixture.AddAgent("y", 2);
    for (int i = 0; i < 5; ++i) {
      fixture.SubmitRequest(milliseconds(100));
    }
    // The reports show four free slots; the fifth request has to wait.
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), fixture.Offers().size());
    const EntryFixture::SentOffer done = fixture.Offers().front();
    fixture.Report(
      done.m_agent, done.m_offer.m_attempt, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers().back().m_agent == done.m_agent);
  }

  void ShortestQueuedRequestIsOfferedFirst()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    EntryFixture fixture(policy);
    const ProcessId agent = fixture.AddAgent("x", 1);
    fixture.SubmitRequest(milliseconds(100));
    fixture.SubmitRequest(milliseconds(900));
    fixture.SubmitRequest(milliseconds(50));
    const AttemptId first = fixture.Offers().front().m_offer.m_attempt;
    fixture.Report(agent, first, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("payload 3"),
                         fixture.Offers().back().m_offer.m_payload);
  }

  void TeamWithManyRequestsDoesNotStarveOthers()
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    policy.m_ageingFactor = 1;
    EntryFixture fixture(policy);
    const ProcessId agent = fixture.AddAgent("x", 1);
    for (int i = 0; i < 8; ++i) {
      fixture.SubmitRequest(milliseconds(200), "a");
    }
    const CallerToken other = fixture.SubmitRequest(milliseconds(200), "b");
    const AttemptId first = fixture.Offers().front().m_offer.m_attempt;
    fixture.Report(agent, first, AttemptFate::Completed, 1);
    const AttemptId second = fixture.Offers().back().m_offer.m_attempt;
    fixture.Report(agent, second, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT_EQUAL("payload " + std::to_string(other.m_value),
                         fixture.Offers().at(1).m_offer.m_payload);
  }

  void RequestThatCannotMeetItsDeadlineIsRefused()
  {
    EntryFixture fixture;
    fixture.AddAgent("x", 1);
    std::optional<Answer> refusal;
    for (int i = 0; i < 60 && !refusal; ++i) {
      refusal = fixture.AnswerTo(fixture.SubmitRequest(milliseconds(500)));
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
    EntryFixture fixture(policy);
    fixture.AddAgent("x", 1);
    fixture.SubmitRequest(milliseconds(100));
    const CallerToken waiting = fixture.SubmitRequest(milliseconds(1000));
    fixture.Advance(milliseconds(9100));
    const std::optional<Answer> answer = fixture.AnswerTo(waiting);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::DeadlinePassedQueued);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
  }

  void QuotaRemainderGoesToTheFirstEntry()
  {
    // The team's quota of nine is split over two entries; this entry is first
    // by name and gets five.
    EntryFixture fixture;
    fixture.HandleEvent(PeersChanged{ { { "entry2", { 1 } } } });
    fixture.AddAgent("x", 20);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 9; ++i) {
      admitted +=
        fixture.AnswerTo(fixture.SubmitRequest(milliseconds(10), "a")) ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(5U, admitted);
  }

  void RequestIsRetriedOnAnotherAgentAfterARefusal()
  {
    EntryFixture fixture;
    fixture.AddAgent("x", 1);
    fixture.AddAgent("y", 1);
    const CallerToken caller = fixture.SubmitRequest(milliseconds(100));
    const EntryFixture::SentOffer first = fixture.Offers().front();
    fixture.Report(first.m_agent,
                   first.m_offer.m_attempt,
                   AttemptFate::Refused,
                   0,
                   ErrorKind::Draining);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers().back().m_agent != first.m_agent);
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller));
  }

  void RequestIsRetriedOnAnotherAgentAfterASendFailure()
  {
    EntryFixture fixture;
    fixture.AddAgent("x", 1);
    fixture.AddAgent("y", 1);
    fixture.SubmitRequest(milliseconds(100));
    const auto sent = fixture.Sent<OfferBatch>();
    fixture.HandleEvent(SendFailed{ sent.front().first, sent.front().second });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers().back().m_agent != sent.front().first);
  }

  void LinkResetReconcilesOpenAttempts()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitRequest(milliseconds(100));
    const AttemptId attempt = fixture.Offers().front().m_offer.m_attempt;
    fixture.HandleEvent(LinkReset{ agent });
    CPPUNIT_ASSERT(
      fixture.Sent<Reconcile>().front().second.m_attempts.front() == attempt);
    fixture.Report(agent, attempt, AttemptFate::Completed, 1);
    // A repeated outcome is dropped.
    fixture.Report(agent, attempt, AttemptFate::Completed, 1);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         fixture.m_entry->Counters().m_repliesDropped);
  }

  void ARestartedAgentLosesItsAttempts()
  {
    EntryFixture fixture;
    fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitRequest(milliseconds(100));
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_load.m_sequence = 1;
    fixture.Receive({ "x", { 2 } }, std::move(announce));
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::AgentLost);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
  }

  static Announce WorkerAnnounce(Instant aNow)
  {
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_workers.push_back({ "w", "rack", { 4000, 4096, 0 }, false });
    announce.m_load.m_sequence = 1;
    announce.m_load.m_reportedAt = aNow;
    announce.m_load.m_freeCapacity = { 4000, 4096, 0 };
    return announce;
  }

  /** The number of an incarnation is taken from the time of day at its start.
   */
  void AgentRestartedAfterItsClockWasSetBackIsUsed()
  {
    EntryFixture fixture;
    const ProcessId before{ "a1", { 5000 } };
    const ProcessId after{ "a1", { 40 } };
    fixture.Receive(before, WorkerAnnounce(fixture.m_now));
    fixture.Advance(std::chrono::seconds(2));
    fixture.Receive(after, WorkerAnnounce(fixture.m_now));
    const std::vector<AgentStatus> agents = fixture.m_entry->Agents();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, agents.size());
    CPPUNIT_ASSERT(agents[0].m_agent == after);
  }

  void LateMessageOfAnEarlierIncarnationIsIgnored()
  {
    EntryFixture fixture;
    const ProcessId earlier{ "a1", { 40 } };
    const ProcessId current{ "a1", { 5000 } };
    fixture.Receive(current, WorkerAnnounce(fixture.m_now));
    fixture.Advance(milliseconds(900));
    fixture.Receive(earlier, WorkerAnnounce(fixture.m_now));
    const std::vector<AgentStatus> agents = fixture.m_entry->Agents();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, agents.size());
    CPPUNIT_ASSERT(agents[0].m_agent == current);
  }

  void JobWithAFailedTaskReturnsNoOutputs()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("x", { 4000, 1024, 0 });
    SubmitJob job;
    job.m_caller = { 100 };
    job.m_service = "photo";
    TaskSpec task;
    task.m_need = { 1000, 10, 0 };
    job.m_tasks.assign(2, task);
    fixture.HandleEvent(job);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.Sent<OfferBatch>().size());
    const std::vector<EntryFixture::SentOffer> offers = fixture.Offers();
    fixture.Report(
      agent, offers[0].m_offer.m_attempt, AttemptFate::Completed, 0);
    CPPUNIT_ASSERT(!fixture.AnswerTo(job.m_caller));
    fixture.Report(agent, offers[1].m_offer.m_attempt, AttemptFate::Failed, 0);
    const std::optional<Answer> answer = fixture.AnswerTo(job.m_caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::JobFailed);
    CPPUNIT_ASSERT(answer->m_outputs.empty());
    CPPUNIT_ASSERT(fixture.m_entry->Idle());
  }

  void JobBeyondEveryWorkersCapacityIsRefused()
  {
    EntryFixture fixture;
    fixture.AddWorkerAgent("x", { 4000, 1024, 0 });
    SubmitJob job;
    job.m_caller = { 100 };
    job.m_service = "photo";
    TaskSpec task;
    task.m_need = { 1000, 10, 1 };
    job.m_tasks.assign(1, task);
    fixture.HandleEvent(job);
    CPPUNIT_ASSERT(fixture.AnswerTo(job.m_caller)->m_kind ==
                   ErrorKind::Unsatisfiable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDispatchTest);

} // namespace

} // namespace mulberrysail::core
