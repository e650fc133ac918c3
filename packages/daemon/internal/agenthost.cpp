#include "daemon/internal/agenthost.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

/** Executes the commands that the core emitted for one event. */
class AgentHost::Executor
{
public:
  explicit Executor(AgentHost& aHost)
    : m_host(aHost)
  {
  }

  void operator()(core::SendMessage& aSend) const
  {
    m_host.m_transport->Send(std::move(aSend.m_to), std::move(aSend.m_message));
  }

  void operator()(core::StartRun& aStart) const
  {
    m_host.m_runner.Start(std::move(aStart));
  }

  void operator()(core::StopRun& aStop) const
  {
    m_host.m_runner.Stop(std::move(aStop));
  }

  void operator()(core::ObserveRuns& aObserve) const
  {
    m_host.m_runner.Observe(std::move(aObserve));
  }

  void operator()(core::RecordEvent& aRecord) const
  {
    m_host.m_events.Record(std::move(aRecord));
  }

private:
  AgentHost& m_host;
};

AgentHost::AgentHost(std::unique_ptr<core::IAgent> aCore,
                     telemetry::IEventLog& aEvents,
                     IRunner& aRunner)
  : m_core(std::move(aCore))
  , m_events(aEvents)
  , m_runner(aRunner)
  , m_wakeup(1, [this](std::size_t) { Handle(core::TimerFired{}); })
{
}

AgentHost::~AgentHost()
{
  Stop();
}

std::optional<core::Error>
AgentHost::StartTransport(const TransportStart& aStart)
{
  // Holding the lock blocks hooks that are called before m_transport is set.
  const std::lock_guard<std::mutex> lock(m_mutex);
  core::Result<std::unique_ptr<network::IMessageTransport>> transport =
    aStart();
  if (!transport) {
    return transport.error();
  }
  m_transport = std::move(transport).value();
  return std::nullopt;
}

void
AgentHost::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_wakeup.Stop();
  if (m_transport) {
    m_transport->Stop();
  }
}

void
AgentHost::Handle(core::AgentEvent aEvent)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  // A stopped HTTP client calls the outcome callback synchronously, which would
  // lock the mutex a second time, so no run may be started after Stop().
  if (m_stopped) {
    return;
  }
  m_core->Handle(Now(), std::move(aEvent), m_commands);
  for (core::AgentCommand& command : m_commands) {
    std::visit(Executor(*this), command);
  }
  m_commands.clear();
  const core::Instant wake = m_core->NextWake();
  // The timer clears an instant when it fires, so an instant in the past has
  // to be set again even if it is unchanged.
  if (wake != m_nextWake || wake <= Now()) {
    m_nextWake = wake;
    m_wakeup.Set(0, wake);
  }
}

core::AgentStatus
AgentHost::Status() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Status();
}

core::AgentCounters
AgentHost::Counters() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Counters();
}

bool
AgentHost::Idle() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Idle();
}

} // namespace mulberrysail::daemon
