#include "daemon/internal/agenthost.h"

#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::daemon {

namespace {

/** A core that answers each event with ObserveRuns. */
class ObservingAgent : public core::IAgent
{
public:
  explicit ObservingAgent(int& aHandled)
    : m_handled(aHandled)
  {
  }
  void Handle(core::Instant /*aNow*/,
              core::AgentEvent /*aEvent*/,
              core::AgentCommands& aCommands) override
  {
    ++m_handled;
    aCommands.emplace_back(core::ObserveRuns{});
  }
  core::Instant NextWake() const override { return core::kNever; }
  bool Idle() const override { return true; }
  core::AgentStatus Status() const override { return {}; }
  core::AgentCounters Counters() const override { return {}; }

private:
  int& m_handled;
};

class CountingRunner : public IRunner
{
public:
  void Start(core::StartRun /*aStart*/) override {}
  void Stop(core::StopRun /*aStop*/) override {}
  void Observe(core::ObserveRuns /*aObserve*/) override { ++m_observed; }

  int m_observed = 0;
};

class AgentHostTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentHostTest);
  CPPUNIT_TEST(ObserveCommandsReachTheRunner);
  CPPUNIT_TEST(EventsAreIgnoredAfterStop);
  CPPUNIT_TEST_SUITE_END();

public:
  void ObserveCommandsReachTheRunner()
  {
    Make();
    m_host->Handle(core::TimerFired{});
    CPPUNIT_ASSERT_EQUAL(1, m_runner.m_observed);
  }

  /** A stopped client invokes its callback within the call, and so while the
   * host's lock is held; the host must issue no commands after Stop(). */
  void EventsAreIgnoredAfterStop()
  {
    Make();
    m_host->Stop();
    m_host->Handle(core::TimerFired{});
    CPPUNIT_ASSERT_EQUAL(0, m_handled);
    CPPUNIT_ASSERT_EQUAL(0, m_runner.m_observed);
  }

private:
  void Make()
  {
    m_host.emplace(
      std::make_unique<ObservingAgent>(m_handled), m_events, m_runner);
  }

  int m_handled = 0;
  FakeEventLog m_events;
  CountingRunner m_runner;
  std::optional<AgentHost> m_host;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentHostTest);

} // namespace

} // namespace mulberrysail::daemon
