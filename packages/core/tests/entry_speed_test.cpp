#include "core/tests/speedfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Placement of tasks by the learned speed of the agents' workers. */
class EntrySpeedTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntrySpeedTest);
  CPPUNIT_TEST(FastWorkerIsPreferred);
  CPPUNIT_TEST(SpeedIsWeighedAgainstTheZone);
  CPPUNIT_TEST(TaskAvoidsAWorkerOnWhichItWouldBeLate);
  CPPUNIT_TEST(LateTaskIsStillPlaced);
  CPPUNIT_TEST(PreferredLabelRanksBeforeSpeed);
  CPPUNIT_TEST(EquallySlowWorkersArePlacedByZoneAndCapacity);
  CPPUNIT_TEST(RestartedWorkerHasNoLearnedSpeed);
  CPPUNIT_TEST(RunsWithoutThePreferredLabelAreNotLearned);
  CPPUNIT_TEST(RunsOfAWarmingWorkerAreNotLearned);
  CPPUNIT_TEST(LongRunsAreCountedAndNotLearned);
  CPPUNIT_TEST(ErrorOfDeclaredRunTimesIsNotSlowness);
  CPPUNIT_TEST(SpeedIsShownToOperators);
  CPPUNIT_TEST(NothingIsLearnedWithoutTheSetting);
  CPPUNIT_TEST(LongRunsCountForTheWaitingCoreTime);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Without the learned speed, equal capacities decide by the agents' order.
   */
  void FastWorkerIsPreferred()
  {
    SpeedFixture fixture;
    fixture.Add("a", 1.6);
    fixture.Add("b", 1.0);
    const ProcessId fast = fixture.Add("c", 0.6);
    fixture.Teach();
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(fixture.AgentOfNextTask() == fast);
    }
  }

  void SpeedIsWeighedAgainstTheZone()
  {
    SpeedFixture fixture;
    const ProcessId slowNear = fixture.Add("a", 1.6);
    const ProcessId meanNear = fixture.Add("b", 1.0);
    const ProcessId fastFar = fixture.Add("c", 0.6, kOtherZone);
    fixture.Teach();
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == meanNear);
    fixture.SetFree(meanNear, kNothing);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == fastFar);
    fixture.SetFree(fastFar, kNothing);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == slowNear);
  }

  /** A slow worker with all of its capacity free in the entry's zone is taken
   * for a task that would be in time there, and not for a task that has waited
   * until it would be late there. */
  void TaskAvoidsAWorkerOnWhichItWouldBeLate()
  {
    SpeedFixture fixture;
    const ProcessId slowNear = fixture.Add("a", 1.5);
    const ProcessId meanFar = fixture.Add("b", 1.0, kOtherZone);
    const ProcessId refusing = fixture.Add("c", 0.7, kOtherZone);
    fixture.Teach();
    fixture.SetFree(refusing, kNothing);
    fixture.SetFree(meanFar, kOneTask);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == slowNear);

    fixture.SetAllFree(kNothing);
    fixture.SetFree(refusing, kOneTask);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == refusing);
    const EntryFixture::SentOffer first = fixture.Offers()[0];
    fixture.SetFree(slowNear, kWorkerCapacity);
    fixture.SetFree(meanFar, kOneTask);
    fixture.Advance(milliseconds(90));
    fixture.Refuse(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers()[1].m_agent == meanFar);
  }

  /** A worker on which the task would be late ranks last, but is used. */
  void LateTaskIsStillPlaced()
  {
    SpeedFixture fixture;
    const ProcessId slow = fixture.Add("a", 1.5);
    const ProcessId refusing = fixture.Add("b", 0.7);
    fixture.Teach();
    fixture.SetFree(slow, kNothing);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == refusing);
    const EntryFixture::SentOffer first = fixture.Offers()[0];
    fixture.SetFree(slow, kWorkerCapacity);
    fixture.Advance(milliseconds(110));
    fixture.Refuse(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers()[1].m_agent == slow);
  }

  /** Without its label a task runs several times as long, more than speeds
   * differ. */
  void PreferredLabelRanksBeforeSpeed()
  {
    SpeedFixture fixture;
    fixture.Add("a", 0.5);
    const ProcessId labelled = fixture.Add("b", 3.0, kOtherZone, { "gpu" });
    fixture.Teach();
    CPPUNIT_ASSERT(fixture.SlowdownOf(labelled) > 1.5);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask("gpu") == labelled);
    CPPUNIT_ASSERT(!(fixture.AgentOfNextTask() == labelled));
  }

  /** Small differences are within the error of learning. */
  void EquallySlowWorkersArePlacedByZoneAndCapacity()
  {
    SpeedFixture fixture;
    const ProcessId far = fixture.Add("a", 1.85, kOtherZone);
    const ProcessId near = fixture.Add("b", 2.0);
    const ProcessId nearToo = fixture.Add("c", 2.2);
    fixture.Teach();
    fixture.SetFree(near, kAllButOneTask);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == nearToo);
    fixture.SetFree(near, kWorkerCapacity);
    fixture.SetFree(nearToo, kOneTask);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == near);
    fixture.SetFree(near, kOneTask);
    fixture.SetFree(nearToo, kNothing);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == near);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == far);
  }

  /** The worker that an agent has after a restart may run on other hardware. */
  void RestartedWorkerHasNoLearnedSpeed()
  {
    SpeedFixture fixture;
    fixture.Add("a", 1.0);
    fixture.Add("b", 1.0);
    const ProcessId slow = fixture.Add("c", 2.0);
    const auto learn = [&] {
      fixture.Teach();
      CPPUNIT_ASSERT(fixture.SlowdownOf(slow) > 1.3);
    };
    learn();
    fixture.AnnounceAgain(slow);
    CPPUNIT_ASSERT(fixture.SlowdownOf(slow) > 1.3);

    fixture.m_workers.at(slow).m_quarantined = true;
    fixture.AnnounceAgain(slow);
    fixture.m_workers.at(slow).m_quarantined = false;
    fixture.AnnounceAgain(slow);
    CPPUNIT_ASSERT(fixture.SlowdownOf(slow) > 1.3);

    fixture.m_workers.at(slow).m_name = "another";
    fixture.AnnounceAgain(slow);
    AssertNoSpeed(fixture, slow);
    learn();
    fixture.m_workers.at(slow).m_labels = { "kind" };
    fixture.AnnounceAgain(slow);
    AssertNoSpeed(fixture, slow);
    learn();
    fixture.m_workers.at(slow).m_warmingUp = true;
    fixture.AnnounceAgain(slow);
    AssertNoSpeed(fixture, slow);
    fixture.m_workers.at(slow).m_warmingUp = false;
    fixture.AnnounceAgain(slow);
    learn();
    const ProcessId next{ "c", { 2 } };
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_workers.push_back(fixture.m_workers.at(slow));
    fixture.Receive(next, std::move(announce));
    AssertNoSpeed(fixture, next);
  }

  /** Such runs last longer because of the task. */
  void RunsWithoutThePreferredLabelAreNotLearned()
  {
    SpeedFixture fixture;
    const ProcessId first = fixture.Add("a", 1.0);
    fixture.Add("b", 1.0);
    fixture.Teach();
    for (int i = 0; i < kTeachRuns; ++i) {
      fixture.SetAllFree(kNothing);
      fixture.SetFree(first, kWorkerCapacity);
      CPPUNIT_ASSERT(fixture.AgentOfNextTask("gpu") == first);
      fixture.Complete(fixture.Offers()[0], 3 * kRun);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(first), 0.05);
  }

  void RunsOfAWarmingWorkerAreNotLearned()
  {
    SpeedFixture fixture;
    const ProcessId cold = fixture.Add("a", 1.0);
    fixture.Add("b", 1.0);
    fixture.Teach();
    for (int i = 0; i < kTeachRuns; ++i) {
      fixture.RunOn(cold, 3, true);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(cold), 0.05);
    // Expected run times are as before, too.
    fixture.SetAllFree(kWorkerCapacity);
    fixture.AgentOfNextTask();
    const Duration expected = fixture.Offers()[0].m_offer.m_expectedRun;
    CPPUNIT_ASSERT(expected > kRun * 9 / 10 && expected < kRun * 11 / 10);
  }

  void LongRunsAreCountedAndNotLearned()
  {
    SpeedFixture fixture;
    const ProcessId agent = fixture.Add("a", 1.0);
    fixture.Add("b", 1.0);
    fixture.Teach();
    const std::uint64_t before = fixture.m_entry->Counters().m_longRuns;
    for (int i = 0; i < 5; ++i) {
      fixture.RunOn(agent, 7);
    }
    CPPUNIT_ASSERT_EQUAL(before + 5, fixture.m_entry->Counters().m_longRuns);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(agent), 0.05);
  }

  /** While expected run times are the declared ones, a common error of the
   * declarations must not count for the agent that ran the first tasks. */
  void ErrorOfDeclaredRunTimesIsNotSlowness()
  {
    SpeedFixture fixture;
    const ProcessId first = fixture.Add("a", 3.0);
    const ProcessId second = fixture.Add("b", 3.0);
    for (int i = 0; i < 20; ++i) {
      fixture.RunOn(first, 3);
    }
    fixture.RunOn(second, 3);
    fixture.RunOn(first, 3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(first), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(second), 0.05);
  }

  void SpeedIsShownToOperators()
  {
    SpeedFixture fixture;
    const ProcessId slow = fixture.Add("a", 1.6);
    fixture.Add("b", 1.0);
    fixture.Add("c", 0.6);
    fixture.Teach();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         fixture.m_entry->Counters().m_agentsSlow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         fixture.m_entry->Counters().m_agentsFast);
    std::size_t events = 0;
    for (int i = 0; i < 2 * kTeachRuns; ++i) {
      fixture.RunOn(slow, 0.6);
      events += fixture.SpeedEvents();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         fixture.m_entry->Counters().m_agentsSlow);
    // From slow to normal, once.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, events);
  }

  void NothingIsLearnedWithoutTheSetting()
  {
    SpeedFixture fixture(false);
    const ProcessId slow = fixture.Add("a", 1.6);
    fixture.Add("b", 0.6);
    fixture.Teach();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.SlowdownOf(slow), 1e-9);
    CPPUNIT_ASSERT(fixture.AgentOfNextTask() == slow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         fixture.m_entry->Counters().m_agentsSlow);
  }

  /** If one of eleven tasks runs 7 times as long, the waiting tasks take more
   * core time than the sum of typical run times says, so fewer jobs are
   * admitted. */
  void LongRunsCountForTheWaitingCoreTime()
  {
    CPPUNIT_ASSERT(AdmittedWithLongRuns(true) <
                   AdmittedWithLongRuns(false) * 9 / 10);
  }

private:
  static void AssertNoSpeed(const SpeedFixture& aFixture,
                            const ProcessId& aAgent)
  {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, aFixture.SlowdownOf(aAgent), 1e-9);
  }

  /** @return the number of jobs that are admitted while nothing runs. */
  static std::size_t AdmittedWithLongRuns(bool aLearn)
  {
    SpeedFixture fixture(aLearn);
    std::vector<ProcessId> agents;
    for (const char* name : { "a", "b", "c", "d", "e" }) {
      agents.push_back(fixture.Add(name, 1.0));
    }
    for (std::size_t i = 0; i < 400; ++i) {
      fixture.RunOn(agents[i % agents.size()], i % 11 == 0 ? 7 : 1);
    }
    fixture.SetAllFree(kNothing);
    std::size_t admitted = 0;
    while (!fixture.AnswerTo(fixture.SubmitTask())) {
      ++admitted;
    }
    return admitted;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySpeedTest);

} // namespace

} // namespace mulberrysail::core
