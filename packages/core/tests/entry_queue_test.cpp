#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kRoom{ 16000, 32768, 0 };
constexpr Resources kTask{ 1600, 64, 0 };

constexpr const char* kDocument = R"({
  "services": {"photo": {}},
  "queues": {
    "crop": {"host": "crop.example", "prefix": "/a/", "service": "photo",
             "max_attempts": 2, "slack_factor": 1.6, "timeout_ms": 1500,
             "target_duration_ms": 60},
    "deep": {"prefix": "/a/b/", "service": "photo"}
  }
})";

EntryPolicy
QueuePolicy()
{
  EntryPolicy policy;
  policy.m_agentQueueDepth = 0;
  policy.m_openHeartbeat = milliseconds(200);
  policy.m_agentSilence = milliseconds(450);
  policy.m_runsEndAfter = milliseconds(1250);
  return policy;
}

class QueueFixture : public EntryFixture
{
public:
  QueueFixture()
    : EntryFixture(QueuePolicy())
  {
    Give(
      ConfigChanged{ ParseConfiguration({ 2 }, kDocument).value(), kDocument });
  }

  CallerToken Submit(const std::string& aName,
                     std::size_t aTasks,
                     std::optional<Duration> aDeadline = seconds(2))
  {
    SubmitJob job;
    job.m_caller = CallerToken{ ++m_callers };
    job.m_queue = "crop";
    job.m_name = aName;
    job.m_deadline = aDeadline;
    for (std::size_t i = 0; i < aTasks; ++i) {
      TaskSpec task;
      task.m_need = kTask;
      task.m_declaredRun = milliseconds(100);
      task.m_name = aName + "." + std::to_string(i);
      job.m_tasks.push_back(task);
    }
    Give(job);
    return { m_callers };
  }

  /** Reports the fate of an offer. */
  void End(const SentOffer& aSent, AttemptFate aFate)
  {
    ReportBatch batch;
    batch.m_load.m_sequence = ++m_sequence;
    batch.m_load.m_agentNow = m_now;
    batch.m_load.m_freeRoom = kRoom;
    batch.m_load.m_offersSeen = 1000;
    AttemptReport report;
    report.m_attempt = aSent.m_offer.m_attempt;
    report.m_fate = aFate;
    report.m_kind =
      aFate == AttemptFate::Failed ? ErrorKind::TaskFailed : ErrorKind::None;
    report.m_ranFor = milliseconds(100);
    batch.m_reports.push_back(report);
    Receive(aSent.m_agent, std::move(batch));
  }

private:
  std::uint64_t m_callers = 100;
  std::uint64_t m_sequence = 1000;
};

/** Jobs that come through a queue. */
class EntryQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryQueueTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostIsTheQueue);
  CPPUNIT_TEST(QueueOfAnUnknownServiceIsRejected);
  CPPUNIT_TEST(CallersDeadlineGoesBeforeTheQueues);
  CPPUNIT_TEST(FailedTaskStartsAgainElsewhere);
  CPPUNIT_TEST(JobFailsAfterItsLastAttempt);
  CPPUNIT_TEST(JobWithAttemptsLeftIsNotCalledFailed);
  CPPUNIT_TEST(InterruptedTaskIsPlacedAgain);
  CPPUNIT_TEST(SecondSubmissionGetsTheSameAnswer);
  CPPUNIT_TEST(FinishedJobIsNotRunAgain);
  CPPUNIT_TEST(JobEndsWithItsLastCaller);
  CPPUNIT_TEST(WhatCantMeetItsObjectiveIsRefusedAtOnce);
  CPPUNIT_TEST(RefusalAfterNothingStartedSaysNotRun);
  CPPUNIT_TEST(BegunJobGoesOnToItsCallersDeadline);
  CPPUNIT_TEST(IdleAgentIsNotSilent);
  CPPUNIT_TEST(JobOfASilentAgentIsAnsweredSoon);
  CPPUNIT_TEST(SilentAgentGetsNoSignOfLife);
  CPPUNIT_TEST(PendingCountsWhatHasNotBegun);
  CPPUNIT_TEST(TaskGoesOnlyToItsServicesWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  void LongestPrefixOfTheHostIsTheQueue()
  {
    const Configuration config = ParseConfiguration({ 1 }, kDocument).value();
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

  void CallersDeadlineGoesBeforeTheQueues()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    const CallerToken longer = fixture.Submit("long", 1, seconds(3));
    const CallerToken own = fixture.Submit("own", 1, std::nullopt);
    // The agent gives signs of life, and no end.
    for (int i = 0; i < 17; ++i) {
      fixture.Advance(milliseconds(100));
      fixture.Receive(fixture.Offers()[0].m_agent, ReportBatch{});
    }
    CPPUNIT_ASSERT(fixture.AnswerOf(own));
    CPPUNIT_ASSERT(!fixture.AnswerOf(longer));
  }

  void FailedTaskStartsAgainElsewhere()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.AddWorkerAgent("a2", kRoom);
    const CallerToken caller = fixture.Submit("job", 1);
    const EntryFixture::SentOffer first = fixture.Offers()[0];
    fixture.End(first, AttemptFate::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    const EntryFixture::SentOffer second = fixture.Offers()[1];
    CPPUNIT_ASSERT(second.m_agent != first.m_agent);
    CPPUNIT_ASSERT_EQUAL(2U, second.m_offer.m_start);
    CPPUNIT_ASSERT_EQUAL(std::string("job.0"), second.m_offer.m_name);
    fixture.End(second, AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerOf(caller)->m_kind == ErrorKind::None);
  }

  void JobFailsAfterItsLastAttempt()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.AddWorkerAgent("a2", kRoom);
    const CallerToken caller = fixture.Submit("job", 1);
    fixture.End(fixture.Offers()[0], AttemptFate::Failed);
    fixture.End(fixture.Offers()[1], AttemptFate::Failed);
    CPPUNIT_ASSERT(fixture.AnswerOf(caller)->m_kind == ErrorKind::JobFailed);
  }

  void JobWithAttemptsLeftIsNotCalledFailed()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(250));
    fixture.Advance(milliseconds(180));
    fixture.End(fixture.Offers()[0], AttemptFate::Failed);
    const std::optional<Answer> answer = fixture.AnswerOf(caller);
    CPPUNIT_ASSERT(answer->m_kind != ErrorKind::JobFailed);
    CPPUNIT_ASSERT(answer->m_execution != Execution::NotRun);
  }

  void InterruptedTaskIsPlacedAgain()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.AddWorkerAgent("a2", kRoom);
    fixture.Submit("job", 1);
    fixture.End(fixture.Offers()[0], AttemptFate::Interrupted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  void SecondSubmissionGetsTheSameAnswer()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    const CallerToken first = fixture.Submit("job", 1);
    const CallerToken second = fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.End(fixture.Offers()[0], AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerOf(first)->m_kind == ErrorKind::None);
    CPPUNIT_ASSERT(fixture.AnswerOf(second)->m_kind == ErrorKind::None);
  }

  void FinishedJobIsNotRunAgain()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.Submit("job", 1);
    fixture.End(fixture.Offers()[0], AttemptFate::Completed);
    const CallerToken again = fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerOf(again)->m_kind == ErrorKind::None);
  }

  void JobEndsWithItsLastCaller()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    const CallerToken first = fixture.Submit("job", 1);
    const CallerToken second = fixture.Submit("job", 1);
    fixture.Give(CallerGone{ first });
    CPPUNIT_ASSERT(fixture.Sent<RevokeBatch>().empty());
    fixture.Give(CallerGone{ second });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Sent<RevokeBatch>().size());
  }

  void WhatCantMeetItsObjectiveIsRefusedAtOnce()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTask);
    fixture.Submit("first", 1);
    std::optional<Answer> refusal;
    for (int i = 0; i < 20 && !refusal; ++i) {
      refusal = fixture.AnswerOf(fixture.Submit("job" + std::to_string(i), 2));
    }
    CPPUNIT_ASSERT(refusal->m_kind == ErrorKind::DeadlineUnreachable);
    CPPUNIT_ASSERT(refusal->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(refusal->m_retryAfter > Duration::zero());
    CPPUNIT_ASSERT(refusal->m_detail.find("ahead_core_ms=") !=
                   std::string::npos);
  }

  void RefusalAfterNothingStartedSaysNotRun()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTask);
    fixture.Submit("first", 1);
    const CallerToken waits = fixture.Submit("second", 1);
    fixture.Advance(milliseconds(130));
    // 1.6 x 100 + 60 ms is the objective: it had to start within 120 ms.
    const std::optional<Answer> answer = fixture.AnswerOf(waits);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
  }

  void BegunJobGoesOnToItsCallersDeadline()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTask);
    const CallerToken caller = fixture.Submit("job", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT(!fixture.AnswerOf(caller));
    fixture.End(fixture.Offers()[0], AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  void IdleAgentIsNotSilent()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.AddWorkerAgent("a2", kRoom);
    // Nothing was asked of the agent for long, so it had nothing to say.
    fixture.Advance(seconds(5));
    fixture.Submit("job", 1);
    fixture.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void JobOfASilentAgentIsAnsweredSoon()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1200));
    fixture.Advance(milliseconds(800));
    const std::optional<Answer> answer = fixture.AnswerOf(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
  }

  void SilentAgentGetsNoSignOfLife()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kRoom);
    fixture.AddWorkerAgent("a2", kRoom);
    fixture.Submit("job", 1, seconds(5));
    const ProcessId silent = fixture.Offers()[0].m_agent;
    fixture.Advance(milliseconds(800));
    fixture.Forget();
    fixture.Advance(milliseconds(300));
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      CPPUNIT_ASSERT(to != silent);
    }
    // By now nothing of it runs there, and time is left.
    fixture.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers()[0].m_agent != silent);
  }

  void PendingCountsWhatHasNotBegun()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTask);
    fixture.Submit("first", 1);
    fixture.Submit("second", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.m_entry->Pending("crop"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.m_entry->Pending("deep"));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.m_entry->Find("second")->m_waiting);
  }

  void TaskGoesOnlyToItsServicesWorkers()
  {
    QueueFixture fixture;
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_load.m_sequence = 1;
    announce.m_load.m_freeRoom = kRoom;
    WorkerInfo worker;
    worker.m_name = "w";
    worker.m_capacity = kRoom;
    worker.m_service = "desk";
    announce.m_workers.push_back(worker);
    fixture.Receive({ "a1", { 1 } }, announce);
    const CallerToken caller = fixture.Submit("job", 1);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    CPPUNIT_ASSERT(fixture.AnswerOf(caller)->m_execution == Execution::NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryQueueTest);

} // namespace

} // namespace mulberrysail::core
