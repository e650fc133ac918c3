#include "core/tests/leasefixture.h"
#include "core/tests/modelworker.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSeeds = 150;
constexpr int kRounds = 3;
constexpr milliseconds kStep{ 2 };
constexpr milliseconds kCallTimeout{ 150 };
constexpr milliseconds kAnnounceInterval{ 1500 };
constexpr milliseconds kHelloInterval{ 100 };

/** An agent, its worker and the calls between them, at random: rests, clock
 * rates, delays, freezes of the agent, cuts and restarts of the worker. */
class LeaseSchedule
{
public:
  explicit LeaseSchedule(std::uint32_t aSeed)
    : m_random(aSeed)
    , m_worker(boost::random::uniform_real_distribution<>(0.98, 1.0)(m_random))
  {
  }

  void PlayRound(std::uint64_t aAttempt)
  {
    Play(Draw(0, 30'000));
    m_fixture.Receive(m_fixture.m_entry, EntryHello{});
    const std::string task = "task" + std::to_string(aAttempt);
    m_tasks[task] = aAttempt;
    if (OneIn(4)) {
      m_frozenUntil = m_fixture.m_now + Draw(0, 3000);
    }
    if (OneIn(4)) {
      Play(Draw(0, 1000));
      m_worker.Restart(m_fixture.m_now);
      m_sequence = 0;
      m_nextAnnounce = m_fixture.m_now;
    }
    ToAgent(m_fixture.m_now, [this, aAttempt, task] {
      m_fixture.SendOffers({ m_fixture.NamedOffer(aAttempt, task) });
    });
    Play(Draw(0, 300));
    if (OneIn(2)) {
      m_cutUntil = m_fixture.m_now + Draw(200, 3000);
    } else {
      m_frozenUntil = m_fixture.m_now + Draw(200, 3000);
    }
    Play(milliseconds(4000));
  }

private:
  using Action = std::function<void()>;

  milliseconds Draw(int aFrom, int aTo)
  {
    return milliseconds(
      boost::random::uniform_int_distribution<>(aFrom, aTo)(m_random));
  }

  bool OneIn(int aCount) { return Draw(1, aCount) == milliseconds(1); }

  void ToAgent(Instant aAt, Action aAction)
  {
    m_toAgent.emplace(aAt, std::move(aAction));
  }

  void Play(Duration aFor)
  {
    const Instant end = m_fixture.m_now + aFor;
    while (m_fixture.m_now < end) {
      m_fixture.m_now += kStep;
      m_worker.EndExpiredRuns(m_fixture.m_now);
      Announce();
      RunDue(m_toWorker);
      if (m_fixture.m_now >= m_frozenUntil) {
        if (m_fixture.m_now >= m_nextHello) {
          m_nextHello = m_fixture.m_now + kHelloInterval;
          m_fixture.Receive(m_fixture.m_entry, EntryHello{});
        }
        RunDue(m_toAgent);
        m_fixture.Advance(Duration::zero());
        SendCommands();
      }
      CheckRuns();
    }
  }

  void RunDue(std::multimap<Instant, Action>& aActions)
  {
    while (!aActions.empty() && aActions.begin()->first <= m_fixture.m_now) {
      const Action action = std::move(aActions.begin()->second);
      aActions.erase(aActions.begin());
      action();
    }
  }

  void Announce()
  {
    if (m_fixture.m_now < m_nextAnnounce) {
      return;
    }
    m_nextAnnounce = m_fixture.m_now + kAnnounceInterval;
    if (m_fixture.m_now < m_cutUntil || OneIn(10)) {
      return;
    }
    const Instant arrival =
      m_fixture.m_now + (OneIn(10) ? Draw(0, 4000) : Draw(0, 4));
    ToAgent(arrival,
            [this,
             clock = m_worker.ClockAt(m_fixture.m_now),
             startedAtMs = m_worker.StartedAtMs(),
             sequence = ++m_sequence] {
              m_fixture.m_startedAtMs = startedAtMs;
              m_fixture.m_lastSequence = sequence - 1;
              m_fixture.AnnounceLeasedWorker(
                kFirstIncarnation, false, kLeasedCapacity, true, clock);
            });
  }

  /** Carries out a call at the worker, and its answer at the agent. */
  template<typename Event>
  void Call(const std::function<Event()>& aCarryOut, const Event& aNoAnswer)
  {
    const Instant sentAt = m_fixture.m_now;
    m_toWorker.emplace(
      sentAt + Draw(0, 4), [this, sentAt, aCarryOut, aNoAnswer] {
        const bool isCut = m_fixture.m_now < m_cutUntil;
        const Event event = isCut ? aNoAnswer : aCarryOut();
        ToAgent(isCut ? sentAt + kCallTimeout : m_fixture.m_now + Draw(0, 4),
                [this, event] { m_fixture.HandleEvent(event); });
      });
  }

  void SendCommands()
  {
    const AgentCommands commands = std::exchange(m_fixture.m_commands, {});
    for (const AgentCommand& command : commands) {
      if (const StartRun* start = std::get_if<StartRun>(&command)) {
        Call<StartAnswered>(
          [this, start = *start] {
            return m_worker.Start(start, m_fixture.m_now);
          },
          { start->m_run, StartResult::NoAnswer, {} });
      } else if (const StopRun* stop = std::get_if<StopRun>(&command)) {
        Call<StopAnswered>([this, stop = *stop] { return m_worker.Stop(stop); },
                           { stop->m_run, false });
      } else if (const ObserveRuns* observe =
                   std::get_if<ObserveRuns>(&command)) {
        RunsObserved none;
        none.m_worker = observe->m_target.m_name;
        none.m_incarnation = observe->m_target.m_incarnation;
        none.m_observationId = observe->m_observationId;
        Call<RunsObserved>(
          [this, observe = *observe] {
            return m_worker.Observe(observe, m_fixture.m_now);
          },
          none);
      } else if (const SendMessage* send = std::get_if<SendMessage>(&command)) {
        RecordReports(*send);
      }
    }
  }

  void RecordReports(const SendMessage& aSend)
  {
    if (const ReportBatch* batch = std::get_if<ReportBatch>(&aSend.m_message)) {
      for (const AttemptReport& report : batch->m_reports) {
        m_ended[report.m_attempt.m_value] = m_fixture.m_now;
      }
    }
  }

  void CheckRuns() const
  {
    for (const RunName& run : m_worker.Running()) {
      CPPUNIT_ASSERT_MESSAGE(run.m_task + " runs on after it was reported",
                             !m_ended.contains(m_tasks.at(run.m_task)));
    }
  }

  boost::random::mt19937 m_random;
  LeaseFixture m_fixture;
  ModelWorker m_worker;
  std::multimap<Instant, Action> m_toWorker;
  std::multimap<Instant, Action> m_toAgent;
  Instant m_nextAnnounce;
  Instant m_nextHello;
  Instant m_cutUntil;
  Instant m_frozenUntil;
  std::uint64_t m_sequence = 0;
  std::map<std::string, std::uint64_t> m_tasks;
  /** The attempts that the agent has reported as ended, and when. */
  std::map<std::uint64_t, Instant> m_ended;
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
  void NoRunGoesOnAfterItsEndWasReported()
  {
    const char* const replayed = std::getenv("MULBERRYSAIL_SEED");
    const std::uint32_t first =
      replayed == nullptr
        ? 1
        : static_cast<std::uint32_t>(std::strtoul(replayed, nullptr, 10));
    const std::uint32_t last = replayed == nullptr ? kSeeds : first;
    for (std::uint32_t seed = first; seed <= last; ++seed) {
      PlaySeed(seed);
    }
  }

  /** A start is sent 2 ms after the worker has started again, and the worker is
   * cut off 2 ms later, before it answers. */
  void StartBehindARestartThatIsCutOff() { PlaySeed(7770); }

private:
  static void PlaySeed(std::uint32_t aSeed)
  {
    LeaseSchedule schedule(aSeed);
    for (int round = 1; round <= kRounds; ++round) {
      try {
        schedule.PlayRound(static_cast<std::uint64_t>(round));
      } catch (const CppUnit::Exception& error) {
        CPPUNIT_FAIL("seed " + std::to_string(aSeed) + ": " + error.what());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLeaseScheduleTest);

} // namespace

} // namespace mulberrysail::core
