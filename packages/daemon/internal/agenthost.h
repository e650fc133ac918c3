#pragma once

#include "core/iagent.h"
#include "daemon/internal/runner.h"
#include "daemon/internal/wakeuptimer.h"
#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace mulberrysail::daemon {

/** The agent core under its lock, with the transport that it sends by and the
 * runner of what it starts. What it asks for goes out in the order of the
 * lock. */
class AgentHost
{
public:
  AgentHost(std::unique_ptr<core::IAgent> aCore,
            telemetry::IEventLog& aEvents,
            IRunner& aRunner);
  ~AgentHost();
  AgentHost(const AgentHost&) = delete;
  AgentHost& operator=(const AgentHost&) = delete;

  using TransportStart =
    std::function<core::Result<std::unique_ptr<network::IMessageTransport>>()>;

  /** Starts the transport, whose hooks may call at once. */
  std::optional<core::Error> StartTransport(const TransportStart& aStart);

  /** Ends the timer and the transport, whose queue is sent first. */
  void Stop();

  network::IMessageTransport& Transport() { return *m_transport; }

  /** Hands an event to the core. */
  void Handle(core::AgentEvent aEvent);

  core::AgentStatus Status() const;
  core::AgentCounters Counters() const;
  bool Idle() const;

private:
  class Executor;

  mutable std::mutex m_mutex;
  std::unique_ptr<core::IAgent> m_core;
  std::unique_ptr<network::IMessageTransport> m_transport;
  telemetry::IEventLog& m_events;
  IRunner& m_runner;
  core::AgentCommands m_commands;
  bool m_stopped = false;
  core::Instant m_nextWake = core::kNever;
  WakeupTimer m_wakeup;
};

} // namespace mulberrysail::daemon
