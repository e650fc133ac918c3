#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Jobs that are submitted through a queue. */
class EntryQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryQueueTest);
  CPPUNIT_TEST(LongestMatchingPrefixSelectsTheQueue);
  CPPUNIT_TEST(QueueOfAnUnknownServiceIsRejected);
  CPPUNIT_TEST(OlderConfigurationIsIgnored);
  CPPUNIT_TEST(CallersDeadlineOverridesTheQueueTimeout);
  CPPUNIT_TEST(FailedTaskIsRetriedOnAnotherAgent);
  CPPUNIT_TEST(JobFailsAfterItsLastAttempt);
  CPPUNIT_TEST(JobWithAttemptsLeftIsNotReportedFailed);
  CPPUNIT_TEST(InterruptedTaskIsRetried);
  CPPUNIT_TEST(JobTooLargeForShrunkenWorkersIsRefusedForNow);
  CPPUNIT_TEST(RetryAfterIsShortWhileNoWorkerIsUsable);
  CPPUNIT_TEST(SecondSubmissionGetsTheSameAnswer);
  CPPUNIT_TEST(FinishedJobIsNotRunAgain);
  CPPUNIT_TEST(JobIsRevokedWhenItsLastCallerDisconnects);
  CPPUNIT_TEST(JobThatCannotMeetItsObjectiveIsRefused);
  CPPUNIT_TEST(FullAgentsAreNotComparedForEachWaitingTask);
  CPPUNIT_TEST(WaitingEntrySubscribesToFewAgents);
  CPPUNIT_TEST(OffersTellWhetherMoreWorkWaits);
  CPPUNIT_TEST(PayloadsAreOmittedOnlyForAgentsThatReadSuchBatches);
  CPPUNIT_TEST(RefusalBeforeAnyStartSaysNotRun);
  CPPUNIT_TEST(RefusalAfterAStartSaysMayHaveRun);
  CPPUNIT_TEST(StartedJobContinuesToItsCallersDeadline);
  CPPUNIT_TEST(IdleAgentIsNotUnresponsive);
  CPPUNIT_TEST(JobOfAnUnresponsiveAgentIsAnsweredEarly);
  CPPUNIT_TEST(UnresponsiveAgentGetsNoHeartbeat);
  CPPUNIT_TEST(PendingCountsJobsThatHaveNotStarted);
  CPPUNIT_TEST(TaskIsOfferedOnlyToWorkersOfItsService);
  CPPUNIT_TEST_SUITE_END();

public:
  void LongestMatchingPrefixSelectsTheQueue()
  {
    const Configuration config =
      ParseConfiguration({ 1 }, kQueueDocument).value();
    CPPUNIT_ASSERT_EQUAL(std::string_view("crop"),
                         FindQueue(config, "crop.example", "/a/1"));
    CPPUNIT_ASSERT_EQUAL(std::string_view("deep"),
                         FindQueue(config, "crop.example", "/a/b/1"));
    CPPUNIT_ASSERT_EQUAL(std::string_view("deep"),
                         FindQueue(config, "other", "/a/b/1"));
    CPPUNIT_ASSERT_EQUAL(std::string_view(),
                         FindQueue(config, "other", "/a/1"));
  }

  void QueueOfAnUnknownServiceIsRejected()
  {
    const Result<Configuration> config = ParseConfiguration(
      { 1 }, R"({"queues": {"q": {"prefix": "/", "service": "x"}}})");
    CPPUNIT_ASSERT(config.has_error());
  }

  void OlderConfigurationIsIgnored()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const std::string older = R"({"services": {"photo": {}}})";
    fixture.HandleEvent(
      ConfigChanged{ ParseConfiguration({ 1 }, older).value(), older });
    fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void CallersDeadlineOverridesTheQueueTimeout()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken longer = fixture.Submit("long", 1, seconds(3));
    const CallerToken withoutDeadline =
      fixture.Submit("default", 1, std::nullopt);
    // The agent sends heartbeats but reports no end of the runs.
    for (int i = 0; i < 17; ++i) {
      fixture.Advance(milliseconds(100));
      fixture.Receive(fixture.Offers()[0].m_agent, ReportBatch{});
    }
    CPPUNIT_ASSERT(fixture.AnswerTo(withoutDeadline));
    CPPUNIT_ASSERT(!fixture.AnswerTo(longer));
  }

  void FailedTaskIsRetriedOnAnotherAgent()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1);
    const EntryFixture::SentOffer first = fixture.Offers()[0];
    fixture.ReportFate(first, AttemptFate::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    const EntryFixture::SentOffer second = fixture.Offers()[1];
    CPPUNIT_ASSERT(second.m_agent != first.m_agent);
    CPPUNIT_ASSERT_EQUAL(2U, second.m_offer.m_startNumber);
    CPPUNIT_ASSERT_EQUAL(std::string("job.0"), second.m_offer.m_name);
    fixture.ReportFate(second, AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
  }

  void JobFailsAfterItsLastAttempt()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1);
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Failed);
    fixture.ReportFate(fixture.Offers()[1], AttemptFate::Failed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::JobFailed);
  }

  void JobWithAttemptsLeftIsNotReportedFailed()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(250));
    fixture.Advance(milliseconds(180));
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Failed);
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer->m_kind != ErrorKind::JobFailed);
    CPPUNIT_ASSERT(answer->m_execution != Execution::NotRun);
  }

  void JobTooLargeForShrunkenWorkersIsRefusedForNow()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a1", { 1000, 32768, 0 });
    const CallerToken caller = fixture.Submit("job", 1);
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::NoEndpoint);
    CPPUNIT_ASSERT(answer->m_retryAfter.has_value());
  }

  void RetryAfterIsShortWhileNoWorkerIsUsable()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.Submit("running", 10);
    fixture.Submit("waiting", 40);
    fixture.Advance(milliseconds(10));
    Announce silent;
    silent.m_leaseFor = std::chrono::hours(1);
    silent.m_workers.push_back({ "a1-w", "rack", kWorkerCapacity, true });
    fixture.Receive(agent, silent);
    const CallerToken caller = fixture.Submit("late", 1, milliseconds(1500));
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::DeadlineUnreachable);
    // The shortest delay, 500 ms, with its spread of at most 1 s.
    CPPUNIT_ASSERT(*answer->m_retryAfter <= milliseconds(1500));
  }

  void InterruptedTaskIsRetried()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    fixture.Submit("job", 1);
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Interrupted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  void SecondSubmissionGetsTheSameAnswer()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken first = fixture.Submit("job", 1);
    const CallerToken second = fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(first)->m_kind == ErrorKind::None);
    CPPUNIT_ASSERT(fixture.AnswerTo(second)->m_kind == ErrorKind::None);
  }

  void FinishedJobIsNotRunAgain()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.Submit("job", 1);
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Completed);
    const CallerToken again = fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(again)->m_kind == ErrorKind::None);
  }

  void JobIsRevokedWhenItsLastCallerDisconnects()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken first = fixture.Submit("job", 1);
    const CallerToken second = fixture.Submit("job", 1);
    fixture.HandleEvent(CallerGone{ first });
    CPPUNIT_ASSERT(fixture.Sent<RevokeBatch>().empty());
    fixture.HandleEvent(CallerGone{ second });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Sent<RevokeBatch>().size());
  }

  void JobThatCannotMeetItsObjectiveIsRefused()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("first", 1);
    std::optional<Answer> refusal;
    for (int i = 0; i < 20 && !refusal; ++i) {
      refusal = fixture.AnswerTo(fixture.Submit("job" + std::to_string(i), 2));
    }
    CPPUNIT_ASSERT(refusal->m_kind == ErrorKind::DeadlineUnreachable);
    CPPUNIT_ASSERT(refusal->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(refusal->m_retryAfter > Duration::zero());
    CPPUNIT_ASSERT(refusal->m_detail.find("ahead_core_ms=") !=
                   std::string::npos);
  }

  void FullAgentsAreNotComparedForEachWaitingTask()
  {
    QueueFixture fixture;
    constexpr std::size_t kAgents = 60;
    for (std::size_t i = 0; i < kAgents; ++i) {
      fixture.AddWorkerAgent("agent" + std::to_string(i), kTaskNeed);
    }
    fixture.Submit("running", kAgents);
    fixture.Submit("waiting", 40);
    const std::uint64_t before = fixture.m_entry->Counters().m_agentsCompared;
    fixture.Receive(fixture.Offers().at(0).m_agent, ReportBatch{});
    CPPUNIT_ASSERT(fixture.m_entry->Counters().m_agentsCompared - before <=
                   2 * kAgents);
  }

  void WaitingEntrySubscribesToFewAgents()
  {
    QueueFixture fixture;
    constexpr std::size_t kAgents = 60;
    for (std::size_t i = 0; i < kAgents; ++i) {
      fixture.AddWorkerAgent("agent" + std::to_string(i), kTaskNeed);
    }
    fixture.Submit("running", kAgents);
    fixture.Submit("waiting", 2);
    std::size_t subscriptions = 0;
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      subscriptions += hello.m_subscribeFor > Duration::zero() ? 1 : 0;
    }
    CPPUNIT_ASSERT(subscriptions > 0);
    CPPUNIT_ASSERT(subscriptions <= kAgents / 5);
  }

  void OffersTellWhetherMoreWorkWaits()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("first", 1);
    CPPUNIT_ASSERT(fixture.Sent<OfferBatch>().back().second.m_subscribeFor ==
                   Duration::zero());
    fixture.Submit("second", 2);
    fixture.ReportFate(
      fixture.Offers().at(0), AttemptFate::Completed, kTaskNeed);
    CPPUNIT_ASSERT(fixture.Sent<OfferBatch>().back().second.m_subscribeFor >
                   Duration::zero());
  }

  void PayloadsAreOmittedOnlyForAgentsThatReadSuchBatches()
  {
    for (const bool reads : { false, true }) {
      QueueFixture fixture;
      Announce announce;
      announce.m_leaseFor = std::chrono::hours(1);
      announce.m_load.m_sequence = 1;
      announce.m_load.m_freeCapacity = kWorkerCapacity;
      announce.m_workers.push_back({ "w", "rack", kWorkerCapacity, false });
      announce.m_readsOmittedPayloads = reads;
      fixture.Receive({ "a1", { 1 } }, announce);
      fixture.Submit("job", 2);
      CPPUNIT_ASSERT_EQUAL(
        reads, fixture.Sent<OfferBatch>().at(0).second.m_omitRepeatedPayloads);
    }
  }

  void RefusalBeforeAnyStartSaysNotRun()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("first", 1);
    const CallerToken waits = fixture.Submit("second", 1);
    fixture.Advance(milliseconds(130));
    // The objective is 1.6 x 100 ms + 60 ms, so the task had to start within
    // 120 ms.
    const std::optional<Answer> answer = fixture.AnswerTo(waits);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
  }

  void RefusalAfterAStartSaysMayHaveRun()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    const CallerToken caller = fixture.Submit("job", 2, milliseconds(500));
    const QueueFixture::SentOffer first = fixture.Offers()[0];
    fixture.ReportFate(first, AttemptFate::Completed);
    fixture.ClearCommands();
    // The second task fits and is offered, but no report on it arrives.
    fixture.Advance(milliseconds(600));
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind != ErrorKind::None);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_execution ==
                   Execution::MayHaveRun);
    // A job whose only started task has completed cannot be reported as not run
    // either.
    QueueFixture other;
    other.AddWorkerAgent("a1", kTaskNeed);
    const CallerToken waiting = other.Submit("job", 2, milliseconds(500));
    ReportBatch full;
    full.m_load.m_sequence = 5000;
    full.m_load.m_reportedAt = other.m_now;
    full.m_load.m_lastOfferSequence = 1000;
    AttemptReport done;
    done.m_attempt = other.Offers()[0].m_offer.m_attempt;
    done.m_fate = AttemptFate::Completed;
    full.m_reports.push_back(done);
    other.Receive(other.Offers()[0].m_agent, full);
    other.Advance(milliseconds(600));
    CPPUNIT_ASSERT(other.AnswerTo(waiting)->m_kind != ErrorKind::None);
    CPPUNIT_ASSERT(other.AnswerTo(waiting)->m_execution ==
                   Execution::MayHaveRun);
  }

  void StartedJobContinuesToItsCallersDeadline()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    const CallerToken caller = fixture.Submit("job", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller));
    fixture.ReportFate(fixture.Offers()[0], AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  void IdleAgentIsNotUnresponsive()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    // The agent had no work for 5 s, so it had nothing to report.
    fixture.Advance(seconds(5));
    fixture.Submit("job", 1);
    fixture.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void JobOfAnUnresponsiveAgentIsAnsweredEarly()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1200));
    fixture.Advance(milliseconds(800));
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
  }

  void UnresponsiveAgentGetsNoHeartbeat()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    fixture.Submit("job", 1, seconds(5));
    const ProcessId unresponsive = fixture.Offers()[0].m_agent;
    fixture.Advance(milliseconds(800));
    fixture.ClearCommands();
    fixture.Advance(milliseconds(300));
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      CPPUNIT_ASSERT(to != unresponsive);
    }
    // By now m_runsEndAfter has passed, so no run of the job is left on that
    // agent; the job's deadline has not passed.
    fixture.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers()[0].m_agent != unresponsive);
  }

  void PendingCountsJobsThatHaveNotStarted()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("first", 1);
    fixture.Submit("second", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.m_entry->PendingJobs("crop"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         fixture.m_entry->PendingJobs("deep"));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.m_entry->Find("second")->m_waiting);
  }

  void TaskIsOfferedOnlyToWorkersOfItsService()
  {
    QueueFixture fixture;
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_load.m_sequence = 1;
    announce.m_load.m_freeCapacity = kWorkerCapacity;
    WorkerInfo worker;
    worker.m_name = "w";
    worker.m_capacity = kWorkerCapacity;
    worker.m_service = "desk";
    announce.m_workers.push_back(worker);
    fixture.Receive({ "a1", { 1 } }, announce);
    const CallerToken caller = fixture.Submit("job", 1);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_execution == Execution::NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryQueueTest);

} // namespace

} // namespace mulberrysail::core
