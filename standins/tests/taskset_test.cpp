#include "standins/worker/taskset.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::standins {

namespace {

using namespace std::chrono_literals;

WorkerTask
MakeTask(const std::string& aRun, double aCores, Micros aRunTime)
{
  WorkerTask task;
  task.m_run = aRun;
  task.m_cores = aCores;
  task.m_left = aRunTime;
  return task;
}

class TaskSetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TaskSetTest);
  CPPUNIT_TEST(FittingTasksRunAtFullSpeed);
  CPPUNIT_TEST(OverbookedTasksSlowDownInProportion);
  CPPUNIT_TEST(ThrottledTaskSlowsAloneAndFreesCores);
  CPPUNIT_TEST(LeasesLapse);
  CPPUNIT_TEST_SUITE_END();

public:
  void FittingTasksRunAtFullSpeed()
  {
    m_tasks.Add(0us, MakeTask("a", 1.0, 100ms));
    m_tasks.Add(0us, MakeTask("b", 1.0, 50ms));
    CPPUNIT_ASSERT(m_tasks.NextChange() == 50ms);
    CPPUNIT_ASSERT(m_tasks.Ended(49ms).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_tasks.Ended(50ms).size());
  }

  void OverbookedTasksSlowDownInProportion()
  {
    m_tasks.Add(0us, MakeTask("a", 2.0, 100ms));
    const TaskSet::Key second = m_tasks.Add(0us, MakeTask("b", 2.0, 100ms));
    CPPUNIT_ASSERT(m_tasks.NextChange() == 200ms);
    m_tasks.Take(100ms, second);
    CPPUNIT_ASSERT(m_tasks.NextChange() == 150ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_tasks.Ended(150ms).size());
  }

  void ThrottledTaskSlowsAloneAndFreesCores()
  {
    m_tasks.Add(0us, MakeTask("a", 2.0, 100ms));
    m_tasks.Add(0us, MakeTask("b", 1.0, 100ms));
    m_tasks.Throttle(0us, "a", 1.0);
    CPPUNIT_ASSERT(m_tasks.NextChange() == 100ms);
    const std::vector<TaskSet::Key> ended = m_tasks.Ended(100ms);
    CPPUNIT_ASSERT(ended == m_tasks.Find("b"));
    m_tasks.Take(100ms, ended.front());
    CPPUNIT_ASSERT(m_tasks.NextChange() == 200ms);
  }

  void LeasesLapse()
  {
    WorkerTask task = MakeTask("a", 1.0, 1s);
    task.m_leaseEnd = 30ms;
    m_tasks.Add(0us, std::move(task));
    CPPUNIT_ASSERT(m_tasks.NextChange() == 30ms);
    CPPUNIT_ASSERT(m_tasks.Lapsed(29ms).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_tasks.Lapsed(30ms).size());
  }

private:
  TaskSet m_tasks{ 2.0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskSetTest);

} // namespace

} // namespace mulberrysail::standins
