#include "core/internal/entry/queueisolation.h"
#include "core/tests/crashload.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kBothActive = { "bad", "good" };
constexpr Instant kStart{ seconds(100) };
constexpr std::uint32_t kSeeds = 6;

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
  // The first run is the youngest.
  const std::string& youngest = aCrash.m_runs.front().m_queue;
  aIsolation.AddCrash(aAt,
                      aCrash,
                      aHasRepeat ? std::set<std::string>{ youngest }
                                 : std::set<std::string>{});
}

std::vector<IsolationChange>
Update(QueueIsolation& aIsolation,
       Instant aNow,
       std::span<const std::string> aActive)
{
  constexpr std::size_t kWorkers = 11;
  return aIsolation.Update(aNow, aActive, kWorkers);
}

/** Three queues of unequal traffic that need two thirds of the workers. */
std::vector<QueueLoad>
ThreeQueues()
{
  return { { "short", 27, 8, milliseconds(60) },
           { "long", 5, 4, milliseconds(900) },
           { "most", 80, 2, milliseconds(200) } };
}

} // namespace

/** When the tasks of a queue are taken for the cause of crashes. */
class QueueIsolationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QueueIsolationTest);
  CPPUNIT_TEST(SimultaneousCrashesIsolateNoQueue);
  CPPUNIT_TEST(QueueOfTheYoungestRunsIsIsolated);
  CPPUNIT_TEST(OneRepeatMayBeChance);
  CPPUNIT_TEST(SeparateCrashesIsolateAQueueWithoutRepeats);
  CPPUNIT_TEST(QueueIsIsolatedOnlyForTheSakeOfOthers);
  CPPUNIT_TEST(QueueIsReleasedAfterCrashesEnd);
  CPPUNIT_TEST(QueueWithoutRunsStaysIsolated);
  CPPUNIT_TEST(QueueStaysIsolatedWhileItsTasksCrashWorkers);
  CPPUNIT_TEST(QueueWithMostOfTheTrafficIsNotBlamedForAnother);
  CPPUNIT_TEST(TwoQueuesThatCrashWorkersAreBothIsolated);
  CPPUNIT_TEST(IsolatedQueuesAreReleasedAfterTheirCrashesEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void SimultaneousCrashesIsolateNoQueue()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 40; ++i) {
      Add(isolation, kStart, CrashUnder("bad"), false);
    }
    CPPUNIT_ASSERT(Update(isolation, kStart, kBothActive).empty());
    CPPUNIT_ASSERT(isolation.Empty());
  }

  void QueueOfTheYoungestRunsIsIsolated()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 3; ++i) {
      Add(isolation, kStart + seconds(i), CrashUnder("bad"), i > 0);
    }
    const std::vector<IsolationChange> changes =
      Update(isolation, kStart + seconds(2), kBothActive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), changes[0].m_queue);
    CPPUNIT_ASSERT(isolation.Contains("bad") && !isolation.Contains("good"));
  }

  void OneRepeatMayBeChance()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), false);
    CPPUNIT_ASSERT(Update(isolation, kStart, kBothActive).empty());
  }

  void SeparateCrashesIsolateAQueueWithoutRepeats()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 3; ++i) {
      Add(isolation, kStart + milliseconds(100 * i), CrashUnder("bad"), false);
    }
    CPPUNIT_ASSERT(Update(isolation, kStart + seconds(1), kBothActive).empty());
    Add(isolation, kStart + milliseconds(300), CrashUnder("bad"), false);
    Update(isolation, kStart + seconds(1), kBothActive);
    CPPUNIT_ASSERT(isolation.Contains("bad"));
  }

  void QueueIsIsolatedOnlyForTheSakeOfOthers()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), true);
    const std::vector<std::string> alone = { "bad" };
    CPPUNIT_ASSERT(Update(isolation, kStart, alone).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Update(isolation, kStart, kBothActive).size());
  }

  void QueueIsReleasedAfterCrashesEnd()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), true);
    Update(isolation, kStart, kBothActive);
    for (int i = 0; i < 100; ++i) {
      for (const std::string& queue : kBothActive) {
        isolation.AddCompletedRun(
          kStart + milliseconds(10 * i), queue, milliseconds(100), 1);
      }
    }
    CPPUNIT_ASSERT(Update(isolation, kStart + seconds(3), kBothActive).empty());
    const std::vector<IsolationChange> changes =
      Update(isolation, kStart + seconds(7), kBothActive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT(!changes[0].m_isolated);
    CPPUNIT_ASSERT(isolation.Empty());
  }

  void QueueWithoutRunsStaysIsolated()
  {
    QueueIsolation isolation;
    Add(isolation, kStart, CrashUnder("bad"), true);
    Add(isolation, kStart, CrashUnder("bad"), true);
    Update(isolation, kStart, kBothActive);
    CPPUNIT_ASSERT(
      Update(isolation, kStart + seconds(30), kBothActive).empty());
    CPPUNIT_ASSERT(isolation.Contains("bad"));
    Update(isolation, kStart + seconds(61), kBothActive);
    CPPUNIT_ASSERT(isolation.Empty());
  }

  void QueueStaysIsolatedWhileItsTasksCrashWorkers()
  {
    QueueIsolation isolation;
    for (int i = 0; i < 20; ++i) {
      Add(isolation, kStart + seconds(2 * i), CrashUnder("bad"), true);
      Update(isolation, kStart + seconds(2 * i), kBothActive);
      CPPUNIT_ASSERT_EQUAL(i > 0, isolation.Contains("bad"));
    }
  }

  void QueueWithMostOfTheTrafficIsNotBlamedForAnother()
  {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      std::vector<QueueLoad> queues = ThreeQueues();
      queues[1].m_crashingShare = 0.9;
      CrashLoad load(queues, seed);
      load.Play(seconds(8));
      CPPUNIT_ASSERT(load.IsIsolated("long"));
      CPPUNIT_ASSERT(load.IsolatedFor("most") < seconds(1));
      load.TakeServedShare("most");
      load.Play(seconds(8));
      CPPUNIT_ASSERT(load.TakeServedShare("most") > 0.9);
    }
  }

  void TwoQueuesThatCrashWorkersAreBothIsolated()
  {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      std::vector<QueueLoad> queues = ThreeQueues();
      queues[0].m_crashingShare = 0.3;
      queues[1].m_crashingShare = 0.5;
      CrashLoad load(queues, seed);
      load.Play(seconds(10));
      CPPUNIT_ASSERT(load.IsolatedFor("short") > seconds(3));
      CPPUNIT_ASSERT(load.IsolatedFor("long") > seconds(3));
      CPPUNIT_ASSERT(load.IsolatedFor("most") < seconds(1));
      load.TakeServedShare("most");
      load.Play(seconds(10));
      CPPUNIT_ASSERT(load.TakeServedShare("most") > 0.9);
    }
  }

  void IsolatedQueuesAreReleasedAfterTheirCrashesEnd()
  {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      std::vector<QueueLoad> queues = ThreeQueues();
      queues[0].m_crashingShare = 0.1;
      CrashLoad load(queues, seed);
      load.Play(seconds(8));
      CPPUNIT_ASSERT(load.IsIsolated("short"));
      load.Queue("short").m_crashingShare = 0;
      load.Play(seconds(15));
      CPPUNIT_ASSERT(!load.IsAnyIsolated());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueIsolationTest);

} // namespace mulberrysail::core
