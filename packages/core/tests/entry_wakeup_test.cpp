#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace mulberrysail::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kTasks = 4;

/** Counts the times at which the entry wants to be woken. */
class WakeupCounter : public QueueFixture
{
public:
  WakeupCounter()
    : QueueFixture(Policy())
    , m_agent(AddWorkerAgent("agent-1", kWorkerCapacity))
  {
  }

  /** Submits a job, and reports each of its tasks as completed. */
  void RunJob(const std::string& aName)
  {
    const CallerToken caller = Submit(aName, kTasks);
    ReportBatch batch;
    for (const SentOffer& sent : Offers()) {
      batch.m_reports.emplace_back();
      batch.m_reports.back().m_attempt = sent.m_offer.m_attempt;
      batch.m_reports.back().m_fate = AttemptFate::Completed;
    }
    m_offers += kTasks;
    batch.m_load.m_sequence = ++m_loadSequence;
    batch.m_load.m_reportedAt = m_now;
    batch.m_load.m_lastOfferSequence = m_offers;
    batch.m_load.m_freeCapacity = kWorkerCapacity;
    Receive(m_agent, std::move(batch));
    const std::optional<Answer> answer = AnswerTo(caller);
    CPPUNIT_ASSERT(answer && answer->m_kind == ErrorKind::None);
    ClearCommands();
  }

  /** @return the number of wake-ups until then. */
  std::size_t CountWakeups(Duration aFor)
  {
    const Instant end = m_now + aFor;
    std::size_t wakeups = 0;
    while (m_entry->NextWake() <= end) {
      m_now = std::max(m_now, m_entry->NextWake());
      HandleEvent(TimerFired{});
      ++wakeups;
    }
    m_now = end;
    return wakeups;
  }

private:
  static EntryPolicy Policy()
  {
    EntryPolicy policy = QueuePolicy();
    policy.m_openAttemptHeartbeat = Duration::zero();
    policy.m_agentTimeout = Duration::zero();
    policy.m_statusRetention = 10s;
    return policy;
  }

  /** Above the numbers that the fixture gives. */
  std::uint64_t m_loadSequence = 1000;
  std::uint64_t m_offers = 0;
  const ProcessId m_agent;
};

} // namespace

/** Wake-ups cost a thin entry processor time. */
class EntryWakeupTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryWakeupTest);
  CPPUNIT_TEST(ACompletedJobWakesNoOneAtItsTimes);
  CPPUNIT_TEST(StatusesThatExpireTogetherShareAWakeup);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Neither its deadline, nor the latest start or expected outcome of its
   * tasks. */
  void ACompletedJobWakesNoOneAtItsTimes()
  {
    WakeupCounter entry;
    static_cast<void>(entry.CountWakeups(100ms));
    WakeupCounter idle;
    static_cast<void>(idle.CountWakeups(100ms));
    entry.RunJob("j-1");
    CPPUNIT_ASSERT_EQUAL(idle.CountWakeups(8s), entry.CountWakeups(8s));
  }

  void StatusesThatExpireTogetherShareAWakeup()
  {
    constexpr std::size_t kJobs = 100;
    constexpr std::size_t kMostChecks = 3;
    WakeupCounter entry;
    for (std::size_t job = 0; job < kJobs; ++job) {
      entry.RunJob("j-" + std::to_string(job));
      entry.m_now += 1ms;
    }
    static_cast<void>(entry.CountWakeups(9s));
    WakeupCounter idle;
    static_cast<void>(idle.CountWakeups(9s));
    CPPUNIT_ASSERT(entry.m_entry->Find("j-0").has_value());
    const std::size_t ofIdle = idle.CountWakeups(2s);
    const std::size_t wakeups = entry.CountWakeups(2s);
    CPPUNIT_ASSERT(!entry.m_entry->Find("j-0"));
    CPPUNIT_ASSERT(!entry.m_entry->Find("j-99"));
    CPPUNIT_ASSERT(wakeups > ofIdle);
    CPPUNIT_ASSERT(wakeups <= ofIdle + kMostChecks);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryWakeupTest);

} // namespace mulberrysail::core
