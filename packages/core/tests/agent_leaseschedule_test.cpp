#include "core/tests/agentschedule.h"
#include "core/tests/seeds.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSeeds = 150;
constexpr int kRounds = 3;
constexpr milliseconds kAnnounceInterval{ 1500 };

/** Rests, then one task, with clock rates, delays, freezes of the agent, cuts
 * and restarts of the worker at random. */
class LeaseSchedule : public AgentSchedule
{
public:
  explicit LeaseSchedule(std::uint32_t aSeed)
    : AgentSchedule(aSeed, LeasePolicy())
  {
  }

  void PlayRound(std::uint64_t aAttempt)
  {
    Play(Draw(0, 30'000));
    m_fixture.Receive(m_fixture.m_entry, EntryHello{});
    if (OneIn(4)) {
      m_frozenUntil = m_fixture.m_now + Draw(0, 3000);
    }
    if (OneIn(4)) {
      Play(Draw(0, 1000));
      RestartWorker();
      m_nextAnnounce = m_fixture.m_now;
    }
    Offer(aAttempt);
    Play(Draw(0, 300));
    if (OneIn(2)) {
      m_cutUntil = m_fixture.m_now + Draw(200, 3000);
    } else {
      m_frozenUntil = m_fixture.m_now + Draw(200, 3000);
    }
    Play(milliseconds(4000));
  }

private:
  void Step() override
  {
    if (m_fixture.m_now < m_nextAnnounce) {
      return;
    }
    m_nextAnnounce = m_fixture.m_now + kAnnounceInterval;
    if (m_fixture.m_now < m_cutUntil || OneIn(10)) {
      return;
    }
    const milliseconds delay = OneIn(10) ? Draw(0, 4000) : Draw(0, 4);
    Announce(m_fixture.m_now + delay, false, kLeasedCapacity);
  }

  Instant m_nextAnnounce;
};

/** No run is taken for ended while it may go on. MULBERRYSAIL_SEED replays one
 * seed. */
class AgentLeaseScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLeaseScheduleTest);
  CPPUNIT_TEST(NoRunGoesOnAfterItsEndWasReported);
  CPPUNIT_TEST(StartBehindARestartThatIsCutOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoRunGoesOnAfterItsEndWasReported() { ForEachSeed(kSeeds, PlaySeed); }

  /** A start is sent 2 ms after the worker has started again, and the worker is
   * cut off 2 ms later, before it answers. */
  void StartBehindARestartThatIsCutOff() { PlaySeed(7770); }

private:
  static void PlaySeed(std::uint32_t aSeed)
  {
    LeaseSchedule schedule(aSeed);
    for (int round = 1; round <= kRounds; ++round) {
      schedule.PlayRound(static_cast<std::uint64_t>(round));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLeaseScheduleTest);

} // namespace

} // namespace mulberrysail::core
