#include "core/internal/entry/crashledger.h"
#include "core/internal/entry/queueisolation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kBothActive = { "bad", "good" };
constexpr Instant kStart{ seconds(100) };

/** A crash soon after the start of a run of @p aYoungest, beside older runs of
 * both queues. */
WorkerCrash
CrashUnder(const std::string& aYoungest)
{
  WorkerCrash crash;
  crash.m_worker = "w";
  crash.m_runs = { { { 1 }, "t1", aYoungest, milliseconds(5) },
                   { { 2 }, "t2", "good", milliseconds(60) },
                   { { 3 }, "t3", "bad", milliseconds(90) } };
  return crash;
}

void
Add(QueueIsolation& aIsolation,
    Instant aAt,
    const WorkerCrash& aCrash,
    bool aHasRepeat)
{
  aIsolation.AddCrash(aAt, aCrash, BlameOfRuns(aCrash), aHasRepeat);
}

} // namespace

/** When the tasks of a queue are taken for the cause of crashes. */
class QueueIsolationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QueueIsolationTest);
  CPPUNIT_TEST(SimultaneousCrashesIsolateNoQueue);
  CPPUNIT_TEST(QueueOfTheYoungestRunsIsIsolated);
  CPPUNIT_TEST(OneRepeatMayBeChance);
  CPPUNIT_TEST(QueueIsIsolatedOnlyForTheSakeOfOthers);
  CPPUNIT_TEST(QueueIsReleasedAfterCrashesEnd);
  CPPUNIT_TEST(QueueStaysIsolatedWhileItsTasksCrashWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  void SimultaneousCrashesIsolateNoQueue()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 40; ++i) {
      Add(isolation, kStart, CrashUnder("bad"), false);
    }
    CPPUNIT_ASSERT(isolation.Update(kStart, kBothActive).empty());
    CPPUNIT_ASSERT(isolation.Empty());
  }

  void QueueOfTheYoungestRunsIsIsolated()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 3; ++i) {
      Add(isolation, kStart + seconds(i), CrashUnder("bad"), i > 0);
    }
    const std::vector<IsolationChange> changes =
      isolation.Update(kStart + seconds(2), kBothActive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), changes[0].m_queue);
    CPPUNIT_ASSERT(isolation.Contains("bad") && !isolation.Contains("good"));
  }

  void OneRepeatMayBeChance()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), false);
    CPPUNIT_ASSERT(isolation.Update(kStart, kBothActive).empty());
  }

  void QueueIsIsolatedOnlyForTheSakeOfOthers()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), true);
    const std::vector<std::string> alone = { "bad" };
    CPPUNIT_ASSERT(isolation.Update(kStart, alone).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         isolation.Update(kStart, kBothActive).size());
  }

  void QueueIsReleasedAfterCrashesEnd()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), true);
    isolation.Update(kStart, kBothActive);
    CPPUNIT_ASSERT(isolation.Update(kStart + seconds(3), kBothActive).empty());
    const std::vector<IsolationChange> changes =
      isolation.Update(kStart + seconds(7), kBothActive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT(!changes[0].m_isolated);
    CPPUNIT_ASSERT(isolation.Empty());
  }

  void QueueStaysIsolatedWhileItsTasksCrashWorkers()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 20; ++i) {
      Add(isolation, kStart + seconds(2 * i), CrashUnder("bad"), true);
      isolation.Update(kStart + seconds(2 * i), kBothActive);
      CPPUNIT_ASSERT_EQUAL(i > 0, isolation.Contains("bad"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueIsolationTest);

} // namespace mulberrysail::core
