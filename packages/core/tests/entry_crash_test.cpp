#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxLostRuns = 3;

/** Adds agents "a1" to "aN" with one worker each. */
std::vector<ProcessId>
AddWorkerAgents(EntryFixture& aFixture, std::size_t aCount)
{
  std::vector<ProcessId> agents;
  for (std::size_t i = 1; i <= aCount; ++i) {
    agents.push_back(
      aFixture.AddWorkerAgent("a" + std::to_string(i), kWorkerCapacity));
  }
  return agents;
}

/** @return a run of the first task of "job". */
LostRun
CulpritRun(std::uint64_t aAttempt)
{
  return { { aAttempt }, "job.0", "crop", milliseconds(5) };
}

/** @return a crash of the worker of "aN" with @p aRuns, where N is its number.
 */
WorkerCrash
Crash(std::uint64_t aNumber, std::vector<LostRun> aRuns)
{
  return { aNumber,
           "a" + std::to_string(aNumber) + "-w",
           milliseconds(1),
           std::move(aRuns),
           true };
}

/** @return @p aCount runs of other tasks that have run for @p aAge. */
std::vector<LostRun>
Bystanders(std::size_t aCount, Duration aAge)
{
  std::vector<LostRun> runs;
  for (std::size_t i = 1; i <= aCount; ++i) {
    runs.push_back({ { 900 + i }, "other." + std::to_string(i), "deep", aAge });
  }
  return runs;
}

/** Announces crashes of the workers of one agent. */
void
AnnounceCrashes(EntryFixture& aFixture,
                const ProcessId& aAgent,
                std::vector<WorkerCrash> aCrashes)
{
  core::Announce announce;
  announce.m_leaseFor = std::chrono::hours(1);
  announce.m_workers.push_back(
    { aAgent.m_name + "-w", "rack", kWorkerCapacity, false });
  announce.m_load.m_freeCapacity = kWorkerCapacity;
  announce.m_crashes = std::move(aCrashes);
  aFixture.Receive(aAgent, std::move(announce));
}

} // namespace

/** Work that takes workers and endpoints with it. */
class EntryCrashTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryCrashTest);
  CPPUNIT_TEST(TaskIsNotStartedAfterItsThirdCrash);
  CPPUNIT_TEST(RunsLostWithoutACrashAreNotCalledACrash);
  CPPUNIT_TEST(UnconfirmedCrashesAreNotCalledACrash);
  CPPUNIT_TEST(RequestIsNotRetriedAfterItsThirdLostRun);
  CPPUNIT_TEST(CrashesUnderOtherEntriesCount);
  CPPUNIT_TEST(JobWithAGivenUpTaskIsAnsweredAtOnce);
  CPPUNIT_TEST(LostRunAndItsCrashRecordCountOnce);
  CPPUNIT_TEST(RepeatedAnnouncementOfACrashCountsOnce);
  CPPUNIT_TEST(TaskAloneInTwoCrashesIsGivenUp);
  CPPUNIT_TEST(BystanderOfTwoCrashesIsRetried);
  CPPUNIT_TEST(WaitingTaskIsGivenUpWhenOthersLoseItsRuns);
  CPPUNIT_TEST(OldLossesAreForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  void TaskIsNotStartedAfterItsThirdCrash()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    for (std::uint64_t i = 1; i <= 6; ++i) {
      const EntryFixture::SentOffer offer = fixture.Offers().back();
      std::vector<LostRun> runs = Bystanders(9, milliseconds(5));
      runs.push_back(CulpritRun(offer.m_offer.m_attempt.m_value));
      AnnounceCrashes(fixture, offer.m_agent, { Crash(i, runs) });
      fixture.ReportFate(offer, AttemptFate::Interrupted);
      fixture.Advance(seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxLostRuns, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind ==
                   ErrorKind::CrashesWorkers);
  }

  void RunsLostWithoutACrashAreNotCalledACrash()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    for (std::size_t i = 1; i <= kMaxLostRuns + 1; ++i) {
      fixture.ReportFate(fixture.Offers().back(), AttemptFate::Interrupted);
      CPPUNIT_ASSERT(!fixture.AnswerTo(caller).has_value());
    }
    for (int i = 0; i < 4; ++i) {
      fixture.ReportFate(fixture.Offers().back(), AttemptFate::Interrupted);
    }
    // Three crashes that nobody saw would leave two more starts.
    CPPUNIT_ASSERT_EQUAL(kMaxLostRuns + 2, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::RunLost);
  }

  void UnconfirmedCrashesAreNotCalledACrash()
  {
    QueueFixture fixture;
    const std::vector<ProcessId> agents = AddWorkerAgents(fixture, 4);
    std::vector<WorkerCrash> crashes = { Crash(1, { CulpritRun(1) }),
                                         Crash(2, { CulpritRun(2) }) };
    crashes[0].m_isConfirmed = false;
    crashes[1].m_isConfirmed = false;
    AnnounceCrashes(fixture, agents[0], crashes);
    const CallerToken first = fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT(fixture.AnswerTo(first)->m_kind == ErrorKind::RunLost);
    crashes = { Crash(3, { CulpritRun(1) }), Crash(4, { CulpritRun(2) }) };
    AnnounceCrashes(fixture, agents[0], crashes);
    const CallerToken second = fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT(fixture.AnswerTo(second)->m_kind ==
                   ErrorKind::CrashesWorkers);
    CPPUNIT_ASSERT(fixture.Offers().empty());
  }

  void CrashesUnderOtherEntriesCount()
  {
    QueueFixture fixture;
    const std::vector<ProcessId> agents = AddWorkerAgents(fixture, 8);
    for (std::uint64_t i = 1; i <= 2; ++i) {
      std::vector<LostRun> runs = Bystanders(9, milliseconds(5));
      runs.push_back(CulpritRun(i));
      AnnounceCrashes(fixture, agents[i - 1], { Crash(i, runs) });
    }
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    const EntryFixture::SentOffer offer = fixture.Offers().back();
    std::vector<LostRun> third = Bystanders(9, milliseconds(5));
    third.push_back(CulpritRun(offer.m_offer.m_attempt.m_value));
    AnnounceCrashes(fixture, offer.m_agent, { Crash(3, third) });
    fixture.ReportFate(offer, AttemptFate::Interrupted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind ==
                   ErrorKind::CrashesWorkers);
  }

  void JobWithAGivenUpTaskIsAnsweredAtOnce()
  {
    QueueFixture fixture;
    const std::vector<ProcessId> agents = AddWorkerAgents(fixture, 4);
    for (std::uint64_t i = 1; i <= kMaxLostRuns; ++i) {
      std::vector<LostRun> runs = Bystanders(9, milliseconds(5));
      runs.push_back(CulpritRun(i));
      AnnounceCrashes(fixture, agents[i - 1], { Crash(i, runs) });
    }
    const CallerToken caller = fixture.Submit("job", 2, seconds(60));
    CPPUNIT_ASSERT(fixture.Offers().empty());
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::CrashesWorkers);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::string("job.0: lost with a1-w beside 9 runs, "
                                     "a2-w beside 9 runs, a3-w beside 9 runs"),
                         answer->m_detail);
  }

  void LostRunAndItsCrashRecordCountOnce()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    fixture.Submit("job", 1, seconds(60));
    for (std::uint64_t i = 1; i <= 2; ++i) {
      const EntryFixture::SentOffer offer = fixture.Offers().back();
      std::vector<LostRun> runs = Bystanders(9, milliseconds(5));
      runs.push_back(CulpritRun(offer.m_offer.m_attempt.m_value));
      AnnounceCrashes(fixture, offer.m_agent, { Crash(i, runs) });
      fixture.ReportFate(offer, AttemptFate::Interrupted);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Offers().size());
  }

  void RepeatedAnnouncementOfACrashCountsOnce()
  {
    QueueFixture fixture;
    const std::vector<ProcessId> agents = AddWorkerAgents(fixture, 4);
    std::vector<LostRun> runs = Bystanders(9, milliseconds(5));
    runs.push_back(CulpritRun(1));
    for (int i = 0; i < 4; ++i) {
      AnnounceCrashes(fixture, agents[0], { Crash(1, runs) });
    }
    fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void TaskAloneInTwoCrashesIsGivenUp()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    for (std::uint64_t i = 1; i <= 2; ++i) {
      const EntryFixture::SentOffer offer = fixture.Offers().back();
      AnnounceCrashes(
        fixture,
        offer.m_agent,
        { Crash(i, { CulpritRun(offer.m_offer.m_attempt.m_value) }) });
      fixture.ReportFate(offer, AttemptFate::Interrupted);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind ==
                   ErrorKind::CrashesWorkers);
  }

  void BystanderOfTwoCrashesIsRetried()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    for (std::uint64_t i = 1; i <= 2; ++i) {
      const EntryFixture::SentOffer offer = fixture.Offers().back();
      LostRun own = CulpritRun(offer.m_offer.m_attempt.m_value);
      own.m_age = milliseconds(300);
      std::vector<LostRun> runs = Bystanders(1, milliseconds(5));
      runs.push_back(own);
      AnnounceCrashes(fixture, offer.m_agent, { Crash(i, runs) });
      fixture.ReportFate(offer, AttemptFate::Interrupted);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Offers().size());
    fixture.ReportFate(fixture.Offers().back(), AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
  }

  void WaitingTaskIsGivenUpWhenOthersLoseItsRuns()
  {
    QueueFixture fixture;
    const ProcessId busy = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.Submit("earlier", 10);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, fixture.Offers().size());
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller).has_value());
    AnnounceCrashes(
      fixture,
      busy,
      { Crash(1, { CulpritRun(1) }), Crash(2, { CulpritRun(2) }) });
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind ==
                   ErrorKind::CrashesWorkers);
  }

  void OldLossesAreForgotten()
  {
    QueueFixture fixture;
    const std::vector<ProcessId> agents = AddWorkerAgents(fixture, 4);
    AnnounceCrashes(
      fixture,
      agents[0],
      { Crash(1, { CulpritRun(1) }), Crash(2, { CulpritRun(2) }) });
    fixture.Advance(std::chrono::minutes(3));
    fixture.Submit("job", 1, seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void RequestIsNotRetriedAfterItsThirdLostRun()
  {
    EntryPolicy policy;
    policy.m_retryBudgetPercent = 1000;
    EntryFixture fixture(policy);
    for (int i = 1; i <= 8; ++i) {
      fixture.AddAgent("a" + std::to_string(i), 4);
    }
    SubmitRequest request;
    request.m_caller = { 77 };
    request.m_service = "photo";
    request.m_team = "b";
    request.m_repeatable = true;
    request.m_deadline = seconds(60);
    fixture.HandleEvent(request);
    for (int i = 0; i < 6; ++i) {
      const EntryFixture::SentOffer last = fixture.Offers().back();
      fixture.Report(
        last.m_agent, last.m_offer.m_attempt, AttemptFate::Lost, 4);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxLostRuns, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo({ 77 }).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCrashTest);

} // namespace mulberrysail::core
