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

/** Serializes events to the agent core with a lock and executes its commands
 * through the transport, the runner and the event log. Commands are executed
 * under the lock, so they keep the order of the events. */
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

  /** Starts the transport. Its hooks may be called before this returns. */
  std::optional<core::Error> StartTransport(const TransportStart& aStart);

  /** Stops the timer and the transport, after the transport's queue was
   * sent. */
  void Stop();

  network::IMessageTransport& Transport() { return *m_transport; }

  /** Passes an event to the core and executes the resulting commands. */
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
