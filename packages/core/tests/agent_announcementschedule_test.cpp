#include "core/tests/agentschedule.h"
#include "core/tests/seeds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSeeds = 300;
constexpr int kRounds = 3;
constexpr milliseconds kRound{ 12'000 };
constexpr milliseconds kQuiet{ 8000 };
constexpr milliseconds kAnnounceInterval{ 1500 };
constexpr milliseconds kRunTime{ 300 };
constexpr Resources kShrunken{ 1700, 4096, 0 };
/** The bounds of the smallest platforms: contact-ms, drain-ms, and how long a
 * capacity that has shrunk may be used. */
constexpr milliseconds kContact{ 3000 };
constexpr milliseconds kDrain{ 2000 };
constexpr milliseconds kShrinkGrace = kContact + kAnnounceInterval;

AgentPolicy
Policy()
{
  AgentPolicy policy = LeasePolicy();
  policy.m_maxQueuedTasks = 0;
  policy.m_workerLease = kShrinkGrace;
  return policy;
}

/** Tasks all the time, while the worker's capacity changes, it drains and
 * starts again, its announcements arrive late, and the agent is cut off from
 * it, stands still and starts again. */
class AnnouncementSchedule : public AgentSchedule
{
public:
  explicit AnnouncementSchedule(std::uint32_t aSeed)
    : AgentSchedule(aSeed, Policy())
  {
    m_capacities[m_fixture.m_now] = kLeasedCapacity;
  }

  void PlayRound()
  {
    const Instant end = m_fixture.m_now + kRound;
    while (m_fixture.m_now < end) {
      Play(Draw(0, 4000));
      Disturb();
    }
    if (IsDraining()) {
      RestartWorker();
      m_drainingFrom.reset();
      m_drainAcknowledgedAt.reset();
    }
    Play(kQuiet);
  }

  /** @return how many runs the worker has begun. */
  std::uint64_t StartCount() const { return m_started; }

private:
  void Disturb()
  {
    switch (Draw(1, 6).count()) {
      case 1:
        m_cutUntil = m_fixture.m_now + Draw(200, 9000);
        return;
      case 2:
        m_frozenUntil = m_fixture.m_now + Draw(200, 4000);
        return;
      case 3:
        RestartAgent();
        m_frozenUntil = m_fixture.m_now + Draw(300, 2000);
        return;
      case 4:
        RestartWorker();
        m_drainingFrom.reset();
        m_drainAcknowledgedAt.reset();
        m_nextAnnounce = m_fixture.m_now;
        return;
      case 5:
        m_capacities[m_fixture.m_now] =
          Capacity() == kShrunken ? kLeasedCapacity : kShrunken;
        return;
      default:
        m_drainingFrom = m_drainingFrom.value_or(m_fixture.m_now);
        return;
    }
  }

  bool IsDraining() const { return m_drainingFrom.has_value(); }
  Resources Capacity() const { return m_capacities.rbegin()->second; }

  /** @return whether the agent was reachable and at work for kContact. */
  bool IsInTouch() const
  {
    return std::max(m_cutUntil, m_frozenUntil) + kContact <= m_fixture.m_now;
  }

  void Step() override
  {
    CompleteRuns();
    if (m_fixture.m_now >= m_nextOffer) {
      m_nextOffer = m_fixture.m_now + Draw(20, 300);
      Offer(++m_attempts);
    }
    if (m_fixture.m_now >= m_nextAnnounce) {
      m_nextAnnounce = m_fixture.m_now + kAnnounceInterval;
      SendAnnouncement();
    }
  }

  void CompleteRuns()
  {
    const std::set<RunName> running = m_worker.Running();
    std::erase_if(m_runsBegan,
                  [&](const std::pair<const RunName, Instant>& aRun) {
                    return !running.contains(aRun.first);
                  });
    for (const RunName& run : running) {
      const Instant began =
        m_runsBegan.emplace(run, m_fixture.m_now).first->second;
      if (began + kRunTime <= m_fixture.m_now) {
        m_worker.Complete(run);
      }
    }
  }

  /** In a cut, the announcement arrives some time after it, as its bytes are
   * sent again after pauses that double. */
  void SendAnnouncement()
  {
    const bool isCut = m_fixture.m_now < m_cutUntil;
    const Instant arrival =
      isCut ? m_cutUntil + Draw(0, 9000)
            : m_fixture.m_now + (OneIn(5) ? Draw(0, 3000) : Draw(0, 4));
    Announce(arrival, IsDraining(), Capacity());
    if (IsDraining()) {
      ToAgent(arrival, [this, start = m_worker.StartedAtMs()] {
        if (start == m_worker.StartedAtMs() && IsInTouch()) {
          m_drainAcknowledgedAt =
            m_drainAcknowledgedAt.value_or(m_fixture.m_now);
        }
      });
    }
  }

  void RecordStart() override
  {
    ++m_started;
    CheckCapacity();
    const bool mayStart = !m_drainAcknowledgedAt || !IsInTouch() ||
                          m_fixture.m_now <= *m_drainAcknowledgedAt + kDrain;
    CPPUNIT_ASSERT_MESSAGE("a task started on a draining worker", mayStart);
  }

  /** The capacity of any time since kShrinkGrace ago may be in use. */
  void CheckCapacity() const
  {
    auto inForce = m_capacities.upper_bound(m_fixture.m_now - kShrinkGrace);
    if (inForce != m_capacities.begin()) {
      --inForce;
    }
    std::uint32_t largest = 0;
    for (; inForce != m_capacities.end(); ++inForce) {
      largest = std::max(largest, inForce->second.m_milliCores);
    }
    CPPUNIT_ASSERT_MESSAGE(
      "a start exceeds the capacity",
      m_worker.Running().size() * kLeasedTaskNeed.m_milliCores <= largest);
  }

  Instant m_nextAnnounce;
  Instant m_nextOffer;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_started = 0;
  std::map<RunName, Instant> m_runsBegan;
  /** The worker's capacities, by the time from which they hold. */
  std::map<Instant, Resources> m_capacities;
  std::optional<Instant> m_drainingFrom;
  /** When an agent in touch first learned that this start of the worker drains.
   */
  std::optional<Instant> m_drainAcknowledgedAt;
};

/** No start exceeds a worker's capacity or follows its draining.
 * MULBERRYSAIL_SEED replays one seed. */
class AgentAnnouncementScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentAnnouncementScheduleTest);
  CPPUNIT_TEST(NoStartFollowsAStateThatIsOver);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoStartFollowsAStateThatIsOver()
  {
    ForEachSeed(kSeeds, [](std::uint32_t aSeed) {
      AnnouncementSchedule schedule(aSeed);
      for (int round = 1; round <= kRounds; ++round) {
        schedule.PlayRound();
      }
      CPPUNIT_ASSERT_MESSAGE("no task was started", schedule.StartCount() > 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAnnouncementScheduleTest);

} // namespace

} // namespace mulberrysail::core
