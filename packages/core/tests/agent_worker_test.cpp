#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kWorkerCapacity{ 4000, 4096, 1 };
constexpr Resources kSmall{ 1000, 256, 0 };

/** Placement of tasks on workers, and quarantine of failing workers. */
class AgentWorkerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentWorkerTest);
  CPPUNIT_TEST(TasksWaitForFreeCapacity);
  CPPUNIT_TEST(TaskStartsOnTheBestFittingWorker);
  CPPUNIT_TEST(LongestTaskOfAJobStartsFirst);
  CPPUNIT_TEST(SmallerJobStartsFirst);
  CPPUNIT_TEST(CapacityFollowsUsageWithinBounds);
  CPPUNIT_TEST(ReportedUsageReducesCapacityAtOnce);
  CPPUNIT_TEST(ForeignUsageReducesCapacity);
  CPPUNIT_TEST(LeavingWorkerGetsNoNewTask);
  CPPUNIT_TEST(ExpiredWorkerGetsNoNewTask);
  CPPUNIT_TEST(ThreeFailuresOfSeveralJobsQuarantineTheWorker);
  CPPUNIT_TEST(SixFailuresOfOneJobQuarantineTheWorker);
  CPPUNIT_TEST(QuarantineEndsWithAProbeAndSlowReturn);
  CPPUNIT_TEST(FailedProbeDoublesTheQuarantine);
  CPPUNIT_TEST(OtherWorkersArePreferredAfterAFailure);
  CPPUNIT_TEST(StoppedTaskDoesNotCountAsAWorkerFailure);
  CPPUNIT_TEST(FailingWorkerIsUsedWhileMostWorkersFail);
  CPPUNIT_TEST(WorkerThatFailsAllRunsGetsProbesOnly);
  CPPUNIT_TEST(WorkerThatFailsNoMoreIsRestoredWithoutAPause);
  CPPUNIT_TEST(FailingWorkerIsProbedWhenOthersAreSound);
  CPPUNIT_TEST(OneMessageHasFailingWorkersUsedForALimitedTime);
  CPPUNIT_TEST_SUITE_END();

  static void AnnounceWorker(AgentFixture& aFixture,
                             const std::string& aName,
                             std::vector<TaskUsage> aUsage,
                             bool aLeaving = false)
  {
    aFixture.HandleEvent(
      WorkerAnnounced{ { aName, "rack1", kWorkerCapacity, false },
                       "http://" + aName,
                       aLeaving,
                       std::move(aUsage) });
  }

  /** Runs @p aCount tasks one after another, numbered from @p aFirst; each ends
   * with @p aOutcome. */
  static void RunTasks(AgentFixture& aFixture,
                       std::uint64_t aFirst,
                       std::uint64_t aCount,
                       bool aSameJob,
                       RunOutcome aOutcome)
  {
    for (std::uint64_t i = aFirst; i < aFirst + aCount; ++i) {
      aFixture.SendOffers({ aFixture.TaskOffer(i, aSameJob ? 1 : i, kSmall) });
      aFixture.Finish(aFixture.Starts().back().m_run, aOutcome);
    }
  }

  static bool Quarantined(const AgentFixture& aFixture)
  {
    return aFixture.m_agent->Status().m_workers.at(0).m_quarantined;
  }

  /** Has an entry ask for the use of failing workers for the next seconds. */
  static void TolerateFailures(AgentFixture& aFixture, seconds aFor)
  {
    EntryHello hello;
    hello.m_useFailingWorkersFor = aFor;
    aFixture.Receive(aFixture.m_entry, hello);
  }

public:
  void TasksWaitForFreeCapacity()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", { 2000, 400, 0 });
    fixture.SendOffers(
      { fixture.TaskOffer(1, 5, kSmall), fixture.TaskOffer(2, 5, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void TaskStartsOnTheBestFittingWorker()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", { 8000, 8192, 0 });
    fixture.AddWorker("w2", kSmall);
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::string("w2"),
                         fixture.Starts()[0].m_target.m_name);
  }

  void LongestTaskOfAJobStartsFirst()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    Offer brief = fixture.TaskOffer(1, 5, kSmall);
    Offer lengthy = fixture.TaskOffer(2, 5, kSmall);
    lengthy.m_expectedRun = seconds(2);
    lengthy.m_payload = "long";
    fixture.SendOffers({ brief, lengthy });
    CPPUNIT_ASSERT_EQUAL(std::string("long"), fixture.Starts()[0].m_payload);
  }

  void SmallerJobStartsFirst()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    Offer single = fixture.TaskOffer(3, 6, kSmall);
    single.m_payload = "single";
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall),
                         fixture.TaskOffer(2, 5, kSmall),
                         single });
    CPPUNIT_ASSERT_EQUAL(std::string("single"), fixture.Starts()[0].m_payload);
  }

  void CapacityFollowsUsageWithinBounds()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    for (std::uint64_t i = 1; i <= 60; ++i) {
      fixture.SendOffers({ fixture.TaskOffer(i, i, kSmall) });
      const RunId run = fixture.Starts().back().m_run;
      AnnounceWorker(fixture, "w1", { { run, { 100, 256, 0 } } });
      fixture.Finish(run);
    }
    AnnounceWorker(fixture, "w1", {});
    fixture.ClearCommands();
    std::vector<Offer> offers;
    for (std::uint64_t i = 100; i < 130; ++i) {
      offers.push_back(fixture.TaskOffer(i, i, kSmall));
    }
    fixture.SendOffers(offers);
    // A task counts for at least a quarter of its declared need: at most 16
    // tasks of 1000 millicores run on 4000.
    CPPUNIT_ASSERT(fixture.Starts().size() > 10);
    CPPUNIT_ASSERT(fixture.Starts().size() <= 16);
  }

  void ReportedUsageReducesCapacityAtOnce()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    AnnounceWorker(
      fixture, "w1", { { fixture.Starts()[0].m_run, { 4000, 256, 0 } } });
    fixture.SendOffers({ fixture.TaskOffer(2, 6, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void ForeignUsageReducesCapacity()
  {
    AgentFixture fixture;
    AnnounceWorker(fixture, "w1", { { RunId{ 4711 }, { 3500, 256, 0 } } });
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    CPPUNIT_ASSERT(fixture.Starts().empty());
    AnnounceWorker(fixture, "w1", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
  }

  void LeavingWorkerGetsNoNewTask()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers(
      { fixture.TaskOffer(1, 5, kSmall), fixture.TaskOffer(2, 5, kSmall) });
    AnnounceWorker(fixture, "w1", {}, true);
    CPPUNIT_ASSERT(fixture.Announcements().back().m_workers.empty());
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_kind == ErrorKind::NoEndpoint);
    CPPUNIT_ASSERT(!fixture.ReportOn(1));
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void ExpiredWorkerGetsNoNewTask()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    fixture.SendOffers({ fixture.TaskOffer(1, 5, kSmall) });
    fixture.Advance(seconds(6));
    fixture.SendOffers({ fixture.TaskOffer(2, 5, kSmall) });
    CPPUNIT_ASSERT(fixture.ReportOn(2)->m_kind == ErrorKind::NoEndpoint);
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Completed);
  }

  void ThreeFailuresOfSeveralJobsQuarantineTheWorker()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 2, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(!Quarantined(fixture));
    RunTasks(fixture, 3, 1, false, RunOutcome::Lost);
    CPPUNIT_ASSERT(Quarantined(fixture));
    CPPUNIT_ASSERT(fixture.Announcements().back().m_workers[0].m_quarantined);
    fixture.SendOffers({ fixture.TaskOffer(9, 9, kSmall) });
    CPPUNIT_ASSERT(fixture.ReportOn(9)->m_kind == ErrorKind::NoEndpoint);
  }

  void FailingWorkerIsUsedWhileMostWorkersFail()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(fixture.Announcements().back().m_workers[0].m_failing);
    TolerateFailures(fixture, seconds(3));
    CPPUNIT_ASSERT(!Quarantined(fixture));
    RunTasks(fixture, 4, 6, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(!Quarantined(fixture));
    CPPUNIT_ASSERT(fixture.Announcements().back().m_workers[0].m_failing);
    fixture.ClearCommands();
    fixture.SendOffers({ fixture.TaskOffer(21, 21, kSmall),
                         fixture.TaskOffer(22, 22, kSmall),
                         fixture.TaskOffer(23, 23, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Starts().size());
  }

  void WorkerThatFailsAllRunsGetsProbesOnly()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    TolerateFailures(fixture, seconds(3));
    RunTasks(fixture, 1, 21, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(Quarantined(fixture));
    fixture.Advance(milliseconds(500));
    CPPUNIT_ASSERT(!Quarantined(fixture));
    fixture.ClearCommands();
    fixture.SendOffers(
      { fixture.TaskOffer(31, 31, kSmall), fixture.TaskOffer(32, 32, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run);
    fixture.ClearCommands();
    fixture.SendOffers(
      { fixture.TaskOffer(33, 33, kSmall), fixture.TaskOffer(34, 34, kSmall) });
    CPPUNIT_ASSERT(fixture.Starts().size() >= 2);
  }

  void WorkerThatFailsNoMoreIsRestoredWithoutAPause()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    TolerateFailures(fixture, seconds(3));
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    RunTasks(fixture, 4, 10, false, RunOutcome::Completed);
    CPPUNIT_ASSERT(!fixture.Announcements().back().m_workers[0].m_failing);
    fixture.Advance(seconds(4));
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.ClearCommands();
    fixture.SendOffers(
      { fixture.TaskOffer(21, 21, kSmall), fixture.TaskOffer(22, 22, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
  }

  void FailingWorkerIsProbedWhenOthersAreSound()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    TolerateFailures(fixture, seconds(3));
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    fixture.Advance(seconds(4));
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.ClearCommands();
    fixture.SendOffers(
      { fixture.TaskOffer(21, 21, kSmall), fixture.TaskOffer(22, 22, kSmall) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[0].m_run, RunOutcome::Failed);
    CPPUNIT_ASSERT(Quarantined(fixture));
  }

  void OneMessageHasFailingWorkersUsedForALimitedTime()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    TolerateFailures(fixture, seconds(1'000'000));
    fixture.Advance(seconds(11));
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(Quarantined(fixture));
  }

  void SixFailuresOfOneJobQuarantineTheWorker()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 5, true, RunOutcome::Failed);
    CPPUNIT_ASSERT(!Quarantined(fixture));
    RunTasks(fixture, 6, 1, true, RunOutcome::Failed);
    CPPUNIT_ASSERT(Quarantined(fixture));
  }

  void QuarantineEndsWithAProbeAndSlowReturn()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    fixture.Advance(seconds(5));
    CPPUNIT_ASSERT(!Quarantined(fixture));
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.ClearCommands();
    std::vector<Offer> offers;
    for (std::uint64_t i = 10; i < 20; ++i) {
      offers.push_back(fixture.TaskOffer(i, i, kSmall));
    }
    fixture.SendOffers(offers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Starts().size());
    // After the probe, the agent uses a quarter, a half, then all of the
    // worker's four cores.
    fixture.Finish(fixture.Starts()[0].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[1].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.Starts().size());
    fixture.Finish(fixture.Starts()[2].m_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, fixture.Starts().size());
  }

  void FailedProbeDoublesTheQuarantine()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    RunTasks(fixture, 1, 3, false, RunOutcome::Failed);
    fixture.Advance(seconds(5));
    RunTasks(fixture, 4, 1, false, RunOutcome::Failed);
    CPPUNIT_ASSERT(Quarantined(fixture));
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.Advance(seconds(5));
    fixture.AddWorker("w1", kWorkerCapacity);
    fixture.Advance(seconds(5) - Duration(1));
    CPPUNIT_ASSERT(Quarantined(fixture));
    fixture.Advance(Duration(1));
    CPPUNIT_ASSERT(!Quarantined(fixture));
  }

  void OtherWorkersArePreferredAfterAFailure()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kSmall);
    fixture.AddWorker("w2", kWorkerCapacity);
    RunTasks(fixture, 1, 1, false, RunOutcome::Failed);
    CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                         fixture.Starts()[0].m_target.m_name);
    RunTasks(fixture, 2, 1, false, RunOutcome::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("w2"),
                         fixture.Starts()[1].m_target.m_name);
  }

  void StoppedTaskDoesNotCountAsAWorkerFailure()
  {
    AgentFixture fixture;
    fixture.AddWorker("w1", kWorkerCapacity);
    for (std::uint64_t i = 1; i <= 6; ++i) {
      fixture.SendOffers({ fixture.TaskOffer(i, i, kSmall) });
      fixture.Receive(fixture.m_entry, RevokeBatch{ { AttemptId{ i } }, true });
      fixture.Finish(fixture.Starts().back().m_run, RunOutcome::Failed);
    }
    CPPUNIT_ASSERT(!Quarantined(fixture));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentWorkerTest);

} // namespace

} // namespace mulberrysail::core
