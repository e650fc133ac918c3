#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A job of one task of 100 ms has the objective 220 ms, so its task must start
 * within 120 ms to meet it. */
constexpr Duration kAfterLatestStartInTime = milliseconds(130);

EntryPolicy
PolicyWithLateAnswers()
{
  EntryPolicy policy = QueuePolicy();
  policy.m_lateAnswerFactor = 3;
  return policy;
}

/** Jobs of queues that cannot meet their objective. */
class EntryLateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryLateTest);
  CPPUNIT_TEST(LateJobIsServedWhenCapacityBecomesFree);
  CPPUNIT_TEST(LateJobComesAfterJobsThatCanMeetTheirObjective);
  CPPUNIT_TEST(TasksOfALateJobKeepTheirOrder);
  CPPUNIT_TEST(LateJobIsAnsweredWhenItIsOfNoMoreUse);
  CPPUNIT_TEST(LateJobIsRefusedAtOnceWhenArrivalsLeaveNoCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  void LateJobIsServedWhenCapacityBecomesFree()
  {
    QueueFixture fixture(PolicyWithLateAnswers());
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("running", 1);
    const CallerToken waits = fixture.Submit("late", 1);
    fixture.Advance(kAfterLatestStartInTime);
    CPPUNIT_ASSERT(!fixture.AnswerTo(waits));
    fixture.ReportFate(fixture.Offers().at(0), AttemptFate::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    fixture.ReportFate(fixture.Offers().at(1), AttemptFate::Completed);
    CPPUNIT_ASSERT(fixture.AnswerTo(waits)->m_kind == ErrorKind::None);
  }

  void LateJobComesAfterJobsThatCanMeetTheirObjective()
  {
    QueueFixture fixture(PolicyWithLateAnswers());
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("running", 1);
    fixture.Submit("late", 1);
    fixture.Advance(kAfterLatestStartInTime);
    fixture.Submit("in-time", 1);
    fixture.ReportFate(
      fixture.Offers().at(0), AttemptFate::Completed, kTaskNeed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT_EQUAL(std::string("in-time.0"),
                         fixture.Offers().at(1).m_offer.m_name);
    // The agent, too, is told that other entries' jobs come first.
    fixture.ReportFate(
      fixture.Offers().at(1), AttemptFate::Completed, kTaskNeed);
    CPPUNIT_ASSERT(fixture.Offers().at(2).m_offer.m_dispatchTime >
                   fixture.Offers().at(1).m_offer.m_dispatchTime + seconds(60));
  }

  void TasksOfALateJobKeepTheirOrder()
  {
    QueueFixture fixture(PolicyWithLateAnswers());
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("running", 1);
    fixture.Submit("late", 2);
    fixture.Advance(kAfterLatestStartInTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
    fixture.ReportFate(
      fixture.Offers().at(0), AttemptFate::Completed, kTaskNeed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Offers().size());
    CPPUNIT_ASSERT_EQUAL(std::string("late.0"),
                         fixture.Offers().at(1).m_offer.m_name);
  }

  void LateJobIsAnsweredWhenItIsOfNoMoreUse()
  {
    QueueFixture fixture(PolicyWithLateAnswers());
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("running", 1);
    const CallerToken waits = fixture.Submit("late", 1);
    // 3 x 220 ms less the run of 100 ms.
    fixture.Advance(milliseconds(550));
    CPPUNIT_ASSERT(!fixture.AnswerTo(waits));
    fixture.Advance(milliseconds(20));
    const std::optional<Answer> answer = fixture.AnswerTo(waits);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(answer->m_retryAfter);
  }

  void LateJobIsRefusedAtOnceWhenArrivalsLeaveNoCapacity()
  {
    QueueFixture fixture(PolicyWithLateAnswers());
    fixture.AddWorkerAgent("a1", kTaskNeed);
    constexpr std::size_t kJobs = 40;
    std::size_t refusedAtOnce = 0;
    for (std::size_t i = 0; i < kJobs; ++i) {
      const CallerToken caller =
        fixture.Submit("job" + std::to_string(i), 1, seconds(3));
      const std::optional<Answer> answer = fixture.AnswerTo(caller);
      refusedAtOnce += answer ? 1 : 0;
      CPPUNIT_ASSERT(!answer || answer->m_execution == Execution::NotRun);
      fixture.Advance(milliseconds(10));
    }
    // Ten times as much arrives as the worker can do.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refusedAtOnce) +
                             " jobs refused at once, expected more than " +
                             std::to_string(kJobs / 2),
                           refusedAtOnce > kJobs / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLateTest);

} // namespace

} // namespace mulberrysail::core
