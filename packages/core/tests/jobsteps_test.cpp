#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Jobs with steps that depend on each other, and preferred workers. */
class JobStepsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobStepsTest);
  CPPUNIT_TEST(StepWaitsForAllTasksOfItsDependencies);
  CPPUNIT_TEST(RetriedTaskDelaysTheNextStep);
  CPPUNIT_TEST(BlockedStepIsNotOfferedAfterItsJobEnds);
  CPPUNIT_TEST(ObjectiveCoversAllDependentSteps);
  CPPUNIT_TEST(TasksPerWorkerStayWithinTheLimit);
  CPPUNIT_TEST(PreferredWorkersGoFirst);
  CPPUNIT_TEST(OtherWorkersAreUsedWhenThePreferredAreFull);
  CPPUNIT_TEST_SUITE_END();

public:
  void StepWaitsForAllTasksOfItsDependencies()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller =
      fixture.SubmitSteps("job", { {}, {}, { { 0, 1 }, 0 } }, 2, seconds(2));
    const std::vector<QueueFixture::SentOffer> first = fixture.Offers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, first.size());
    fixture.ClearCommands();
    for (std::size_t i = 0; i < 3; ++i) {
      fixture.ReportFate(first[i], AttemptFate::Completed);
      CPPUNIT_ASSERT(fixture.Offers().empty());
    }
    fixture.ReportFate(first[3], AttemptFate::Completed);
    const std::vector<QueueFixture::SentOffer> last = fixture.Offers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, last.size());
    CPPUNIT_ASSERT_EQUAL(std::string("job.4"), last[0].m_offer.m_name);
    fixture.ReportFate(last[0], AttemptFate::Completed);
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller).has_value());
    fixture.ReportFate(last[1], AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_kind == ErrorKind::None);
  }

  void RetriedTaskDelaysTheNextStep()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    fixture.SubmitSteps("job", { {}, { { 0 }, 0 } }, 1, seconds(2));
    const QueueFixture::SentOffer failed = fixture.Offers()[0];
    fixture.ClearCommands();
    fixture.ReportFate(failed, AttemptFate::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    const QueueFixture::SentOffer again = fixture.Offers()[0];
    CPPUNIT_ASSERT_EQUAL(std::string("job.0"), again.m_offer.m_name);
    fixture.ClearCommands();
    fixture.ReportFate(again, AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("job.1"),
                         fixture.Offers()[0].m_offer.m_name);
  }

  void BlockedStepIsNotOfferedAfterItsJobEnds()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller =
      fixture.SubmitSteps("job", { {}, { { 0 }, 0 } }, 1, seconds(2));
    const QueueFixture::SentOffer first = fixture.Offers()[0];
    fixture.ClearCommands();
    fixture.HandleEvent(CallerGone{ caller });
    fixture.ReportFate(first, AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    CPPUNIT_ASSERT(!fixture.m_entry->Find("job") ||
                   fixture.m_entry->Find("job")->m_answer);
  }

  void ObjectiveCoversAllDependentSteps()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("holds the worker", 1);
    // The objective of three steps of 100 ms is 1.6 x 300 ms + 60 ms = 540 ms,
    // so the first step has to start within 240 ms: 300 ms before the end of
    // the objective, not 100 ms.
    const CallerToken caller = fixture.SubmitSteps(
      "job", { {}, { { 0 }, 0 }, { { 1 }, 0 } }, 1, seconds(2));
    fixture.Advance(milliseconds(230));
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller).has_value());
    fixture.Advance(milliseconds(20));
    CPPUNIT_ASSERT(fixture.AnswerTo(caller).has_value());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller)->m_execution == Execution::NotRun);
  }

  void TasksPerWorkerStayWithinTheLimit()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.AddWorkerAgent("a2", kWorkerCapacity);
    fixture.SubmitSteps("job", { { {}, 2 } }, 5, seconds(2));
    std::map<std::string, int> held;
    for (const QueueFixture::SentOffer& sent : fixture.Offers()) {
      ++held[sent.m_agent.m_name];
    }
    CPPUNIT_ASSERT_EQUAL(2, held["a1"]);
    CPPUNIT_ASSERT_EQUAL(2, held["a2"]);
    const QueueFixture::SentOffer first = fixture.Offers()[0];
    fixture.ClearCommands();
    fixture.ReportFate(first, AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers()[0].m_agent == first.m_agent);
  }

  void PreferredWorkersGoFirst()
  {
    QueueFixture fixture;
    AddLabelled(fixture, "near", "r1", kTaskNeed.m_milliCores * 3);
    AddLabelled(fixture, "far", "r2", kWorkerCapacity.m_milliCores);
    fixture.SubmitSteps("job", { {} }, 2, seconds(2), "r1");
    for (const QueueFixture::SentOffer& sent : fixture.Offers()) {
      CPPUNIT_ASSERT_EQUAL(std::string("near"), sent.m_agent.m_name);
    }
  }

  void OtherWorkersAreUsedWhenThePreferredAreFull()
  {
    QueueFixture fixture;
    AddLabelled(fixture, "near", "r1", kTaskNeed.m_milliCores);
    AddLabelled(fixture, "far", "r2", kWorkerCapacity.m_milliCores);
    fixture.SubmitSteps("job", { {} }, 2, seconds(2), "r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

private:
  static void AddLabelled(QueueFixture& aFixture,
                          const std::string& aName,
                          const std::string& aLabel,
                          std::uint32_t aMilliCores)
  {
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_load.m_sequence = 1;
    announce.m_load.m_freeCapacity = { aMilliCores,
                                       kWorkerCapacity.m_memoryMb,
                                       0 };
    WorkerInfo worker;
    worker.m_name = aName;
    worker.m_capacity = announce.m_load.m_freeCapacity;
    worker.m_labels = { aLabel };
    announce.m_workers.push_back(worker);
    aFixture.Receive({ aName, { 1 } }, announce);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStepsTest);

} // namespace

} // namespace mulberrysail::core
