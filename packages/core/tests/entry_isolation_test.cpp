#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 10;
/** EntryPolicy::m_crashIsolationPercent of kAgents. */
constexpr std::size_t kIsolatedAgents = 2;

/** An entry with ten agents, and jobs in the queues "crop" and "deep". */
class IsolationFixture : public QueueFixture
{
public:
  explicit IsolationFixture(std::size_t aAgents = kAgents)
  {
    for (std::size_t i = 1; i <= aAgents; ++i) {
      m_agents.push_back(
        AddWorkerAgent("a" + std::to_string(i), kWorkerCapacity));
    }
  }

  CallerToken SubmitDeep(const std::string& aName, std::size_t aTasks)
  {
    SubmitJob job;
    job.m_caller = CallerToken{ ++m_lastDeepCaller };
    job.m_queue = "deep";
    job.m_name = aName;
    job.m_deadline = seconds(30);
    for (std::size_t i = 0; i < aTasks; ++i) {
      TaskSpec task;
      task.m_need = kTaskNeed;
      task.m_declaredRun = milliseconds(100);
      task.m_name = aName + "." + std::to_string(i);
      job.m_tasks.push_back(task);
    }
    HandleEvent(job);
    return { m_lastDeepCaller };
  }

  /** Announces that the worker of @p aAgent has crashed with @p aRuns. */
  void AnnounceCrash(const ProcessId& aAgent, std::vector<LostRun> aRuns)
  {
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_workers.push_back(
      { aAgent.m_name + "-w", "rack", kWorkerCapacity, false });
    announce.m_crashes.push_back({ ++m_lastCrash,
                                   aAgent.m_name + "-w",
                                   milliseconds(1),
                                   std::move(aRuns) });
    Receive(aAgent, std::move(announce));
  }

  /** Has two tasks of "crop" lose two runs each, so that the queue is
   * isolated. */
  void IsolateCrop()
  {
    // A queue is isolated only if another one is in use.
    if (Offers().empty()) {
      SubmitDeep("first", 1);
      ReportFate(Offers().back(), AttemptFate::Completed);
    }
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
      const std::string task = attempt % 2 == 0 ? "x.0" : "y.0";
      AnnounceCrash(m_agents[attempt % m_agents.size()],
                    { { { attempt }, task, "crop", milliseconds(5) } });
    }
    ClearCommands();
  }

  /** Submits jobs to "crop" and completes all their tasks. */
  void CompleteCropTasks(std::size_t aTasks)
  {
    Submit("completing", aTasks, seconds(30));
    for (const SentOffer& offer : Offers()) {
      ReportFate(offer, AttemptFate::Completed);
    }
    ClearCommands();
  }

  void FreeAllWorkers()
  {
    for (const ProcessId& agent : m_agents) {
      ReportBatch batch;
      batch.m_load.m_sequence = ++m_lastFreeSequence;
      batch.m_load.m_reportedAt = m_now;
      batch.m_load.m_freeCapacity = kWorkerCapacity;
      batch.m_load.m_lastOfferSequence = 1000;
      Receive(agent, std::move(batch));
    }
  }

  std::set<std::string> AgentsOfOffers() const
  {
    std::set<std::string> agents;
    for (const SentOffer& offer : Offers()) {
      agents.insert(offer.m_agent.m_name);
    }
    return agents;
  }

  std::vector<ProcessId> m_agents;

private:
  std::uint64_t m_lastDeepCaller = 5000;
  std::uint64_t m_lastCrash = 0;
  std::uint64_t m_lastFreeSequence = 100000;
};

} // namespace

/** Where an entry places tasks that may crash workers. */
class EntryIsolationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryIsolationTest);
  CPPUNIT_TEST(TasksOfAnIsolatedQueueAreKeptToFewAgents);
  CPPUNIT_TEST(WaitingTasksFollowTheIsolationOfTheirQueue);
  CPPUNIT_TEST(SuspectedTaskIsRetriedOnFewAgents);
  CPPUNIT_TEST(IsolatedQueueWithoutWorkersIsRefusedAtOnce);
  CPPUNIT_TEST(CrashedWorkersAreNotReplacedByOthers);
  CPPUNIT_TEST(OnlyAgentServesSuspectedTasksToo);
  CPPUNIT_TEST(ReleasedQueueRunsOnAllAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void TasksOfAnIsolatedQueueAreKeptToFewAgents()
  {
    IsolationFixture fixture;
    fixture.IsolateCrop();
    fixture.Submit("job", 2 * kIsolatedAgents, seconds(30));
    const std::set<std::string> isolated = fixture.AgentsOfOffers();
    CPPUNIT_ASSERT_EQUAL(kIsolatedAgents, isolated.size());
    fixture.ClearCommands();
    fixture.SubmitDeep("other", 4 * kAgents);
    const std::set<std::string> others = fixture.AgentsOfOffers();
    CPPUNIT_ASSERT_EQUAL(kAgents - kIsolatedAgents, others.size());
    CPPUNIT_ASSERT(
      std::none_of(others.begin(), others.end(), [&](const std::string& aName) {
        return isolated.contains(aName);
      }));
  }

  void WaitingTasksFollowTheIsolationOfTheirQueue()
  {
    IsolationFixture fixture;
    // Ten tasks fit on each worker.
    fixture.SubmitDeep("filling", 10 * kAgents);
    fixture.Submit("job", 1, seconds(30));
    fixture.SubmitDeep("other", 1);
    fixture.IsolateCrop();
    fixture.FreeAllWorkers();
    std::set<std::string> cropAgents;
    std::set<std::string> deepAgents;
    for (const EntryFixture::SentOffer& offer : fixture.Offers()) {
      (offer.m_offer.m_queue == "crop" ? cropAgents : deepAgents)
        .insert(offer.m_agent.m_name);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cropAgents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, deepAgents.size());
    fixture.ClearCommands();
    fixture.Submit("probe", 2 * kIsolatedAgents, seconds(30));
    const std::set<std::string> isolated = fixture.AgentsOfOffers();
    CPPUNIT_ASSERT(isolated.contains(*cropAgents.begin()));
    CPPUNIT_ASSERT(!isolated.contains(*deepAgents.begin()));
  }

  void SuspectedTaskIsRetriedOnFewAgents()
  {
    std::set<std::string> retriedAt;
    for (int i = 0; i < 20; ++i) {
      IsolationFixture fixture;
      fixture.Submit("job" + std::to_string(i), 1, seconds(30));
      const EntryFixture::SentOffer first = fixture.Offers().back();
      fixture.AnnounceCrash(first.m_agent,
                            { { first.m_offer.m_attempt,
                                first.m_offer.m_name,
                                "crop",
                                milliseconds(5) } });
      fixture.ClearCommands();
      fixture.ReportFate(first, AttemptFate::Interrupted);
      const std::set<std::string> agents = fixture.AgentsOfOffers();
      retriedAt.insert(agents.begin(), agents.end());
    }
    CPPUNIT_ASSERT(!retriedAt.empty());
    CPPUNIT_ASSERT(retriedAt.size() <= kIsolatedAgents);
  }

  void IsolatedQueueWithoutWorkersIsRefusedAtOnce()
  {
    IsolationFixture fixture;
    fixture.IsolateCrop();
    fixture.Submit("probe", 2 * kIsolatedAgents, seconds(30));
    const std::set<std::string> isolated = fixture.AgentsOfOffers();
    for (const std::string& name : isolated) {
      Announce down;
      down.m_leaseFor = std::chrono::hours(1);
      fixture.Receive({ name, { 1 } }, down);
    }
    const CallerToken caller = fixture.Submit("job", 1, seconds(2));
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
    const CallerToken other = fixture.SubmitDeep("other", 1);
    CPPUNIT_ASSERT(!fixture.AnswerTo(other).has_value());
  }

  void CrashedWorkersAreNotReplacedByOthers()
  {
    IsolationFixture fixture;
    fixture.IsolateCrop();
    fixture.Submit("probe", 2 * kIsolatedAgents, seconds(30));
    const std::set<std::string> isolated = fixture.AgentsOfOffers();
    Announce down;
    down.m_leaseFor = std::chrono::hours(1);
    fixture.Receive({ *isolated.begin(), { 1 } }, down);
    fixture.ClearCommands();
    fixture.Submit("job", 4, seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.AgentsOfOffers().size());
    CPPUNIT_ASSERT(isolated.contains(*fixture.AgentsOfOffers().begin()));
  }

  void OnlyAgentServesSuspectedTasksToo()
  {
    IsolationFixture fixture(1);
    fixture.IsolateCrop();
    fixture.Submit("job", 1, seconds(30));
    fixture.SubmitDeep("other", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
  }

  void ReleasedQueueRunsOnAllAgents()
  {
    IsolationFixture fixture;
    fixture.IsolateCrop();
    fixture.Advance(seconds(1));
    fixture.CompleteCropTasks(kIsolatedAgents);
    fixture.Advance(seconds(7));
    fixture.Submit("job", 4 * kAgents, seconds(30));
    CPPUNIT_ASSERT_EQUAL(kAgents, fixture.AgentsOfOffers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryIsolationTest);

} // namespace mulberrysail::core
