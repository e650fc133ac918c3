#include "core/tests/agentschedule.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 2 };
constexpr milliseconds kCallTimeout{ 150 };
constexpr milliseconds kHelloInterval{ 100 };

} // namespace

AgentSchedule::AgentSchedule(std::uint32_t aSeed, const AgentPolicy& aPolicy)
  : AgentSchedule(boost::random::mt19937(aSeed), aPolicy)
{
}

AgentSchedule::AgentSchedule(boost::random::mt19937 aRandom,
                             const AgentPolicy& aPolicy)
  : m_fixture(Incarnation{ 7 }, aPolicy)
  , m_worker(boost::random::uniform_real_distribution<>(0.98, 1.0)(aRandom))
  , m_random(aRandom)
{
}

milliseconds
AgentSchedule::Draw(int aFrom, int aTo)
{
  return milliseconds(
    boost::random::uniform_int_distribution<>(aFrom, aTo)(m_random));
}

bool
AgentSchedule::OneIn(int aCount)
{
  return Draw(1, aCount) == milliseconds(1);
}

void
AgentSchedule::Play(Duration aFor)
{
  const Instant end = m_fixture.m_now + aFor;
  while (m_fixture.m_now < end) {
    m_fixture.m_now += kStep;
    m_worker.EndExpiredRuns(m_fixture.m_now);
    Step();
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

void
AgentSchedule::ToAgent(Instant aAt, Action aAction)
{
  m_toAgent.emplace(aAt, std::move(aAction));
}

void
AgentSchedule::Announce(Instant aAt, bool aLeaving, Resources aCapacity)
{
  ToAgent(aAt,
          [this,
           aLeaving,
           aCapacity,
           clock = m_worker.ClockAt(m_fixture.m_now),
           startedAtMs = m_worker.StartedAtMs(),
           sequence = ++m_sequence] {
            m_fixture.m_startedAtMs = startedAtMs;
            m_fixture.m_lastSequence = sequence - 1;
            m_fixture.AnnounceLeasedWorker(
              kFirstIncarnation, aLeaving, aCapacity, true, clock);
          });
}

void
AgentSchedule::RestartWorker()
{
  m_worker.Restart(m_fixture.m_now);
  m_sequence = 0;
}

void
AgentSchedule::RestartAgent()
{
  m_fixture.RestartAgent();
}

void
AgentSchedule::Offer(std::uint64_t aAttempt)
{
  const std::string task = "task" + std::to_string(aAttempt);
  m_tasks[task] = aAttempt;
  ToAgent(m_fixture.m_now, [this, aAttempt, task] {
    m_fixture.SendOffers({ m_fixture.NamedOffer(aAttempt, task) });
  });
}

void
AgentSchedule::RunDue(std::multimap<Instant, Action>& aActions)
{
  while (!aActions.empty() && aActions.begin()->first <= m_fixture.m_now) {
    const Action action = std::move(aActions.begin()->second);
    aActions.erase(aActions.begin());
    action();
  }
}

template<typename Event>
void
AgentSchedule::Call(const std::function<Event()>& aCarryOut,
                    const Event& aNoAnswer)
{
  const Instant sentAt = m_fixture.m_now;
  const Incarnation caller = m_fixture.m_self.m_incarnation;
  m_toWorker.emplace(
    sentAt + Draw(0, 4), [this, sentAt, caller, aCarryOut, aNoAnswer] {
      const bool isCut = m_fixture.m_now < m_cutUntil;
      const Event event = isCut ? aNoAnswer : aCarryOut();
      ToAgent(isCut ? sentAt + kCallTimeout : m_fixture.m_now + Draw(0, 4),
              [this, caller, event] {
                if (caller == m_fixture.m_self.m_incarnation) {
                  m_fixture.HandleEvent(event);
                }
              });
    });
}

StartAnswered
AgentSchedule::Start(const StartRun& aStart)
{
  const std::size_t before = m_worker.Running().size();
  StartAnswered answer = m_worker.Start(aStart, m_fixture.m_now);
  if (m_worker.Running().size() > before) {
    RecordStart();
  }
  return answer;
}

void
AgentSchedule::SendCommands()
{
  const AgentCommands commands = std::exchange(m_fixture.m_commands, {});
  for (const AgentCommand& command : commands) {
    if (const StartRun* start = std::get_if<StartRun>(&command)) {
      Call<StartAnswered>([this, start = *start] { return Start(start); },
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

void
AgentSchedule::RecordReports(const SendMessage& aSend)
{
  if (const ReportBatch* batch = std::get_if<ReportBatch>(&aSend.m_message)) {
    for (const AttemptReport& report : batch->m_reports) {
      m_ended[report.m_attempt.m_value] = m_fixture.m_now;
    }
  }
}

void
AgentSchedule::CheckRuns() const
{
  for (const RunName& run : m_worker.Running()) {
    CPPUNIT_ASSERT_MESSAGE(run.m_task + " runs on after it was reported",
                           !m_ended.contains(m_tasks.at(run.m_task)));
  }
}

} // namespace mulberrysail::core
