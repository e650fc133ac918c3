#pragma once

#include "daemon/internal/agentapi.h"
#include "daemon/internal/agenthost.h"
#include "daemon/internal/agentpeers.h"
#include "daemon/internal/routedhttpserver.h"
#include "daemon/internal/runner.h"
#include "daemon/internal/storelink.h"
#include "daemon/irole.h"
#include "network/ihttpclient.h"
#include "telemetry/ieventlog.h"

#include <atomic>
#include <memory>
#include <optional>

namespace mulberrysail::daemon {

/** The agent process, which runs on the same machine as an endpoint. */
class AgentRole : public IRole
{
public:
  AgentRole(const Settings& aSettings,
            const IAdapter* aAdapter,
            telemetry::ILogOutput& aOutput);
  ~AgentRole() override;

  std::optional<core::Error> Start();

  void Drain() override;
  bool Drained() const override;
  void Leave() override;
  void Stop() override;
  telemetry::IEventLog& Events() override { return *m_events; }

private:
  /** @return role, HTTP address and zone, for the start event. */
  core::EventDetail Describe() const;
  std::optional<core::Error> ListenForAdapter();
  std::unique_ptr<IRunner> MakeRunner();
  std::optional<core::Error> StartHost();
  void RecordRejection(std::string_view aSource, const core::Error& aError);
  void AddRoutes();
  void StartPeers();
  network::TransportHooks MakeHooks();
  std::string_view NotReadyReason() const;

  const Settings m_settings;
  const core::ProcessId m_self;
  std::unique_ptr<telemetry::IEventLog> m_events;
  std::unique_ptr<network::IHttpClient> m_client;
  RoutedHttpServer m_httpServer;
  /** Null if only the native interface is served. */
  const IAdapter* const m_adapter;
  RoutedHttpServer m_workerServer;
  std::unique_ptr<IRunner> m_runner;
  std::optional<AgentHost> m_host;
  std::optional<AgentApi> m_api;
  /** Absent without a store. */
  std::optional<StoreLink> m_storeLink;
  std::shared_ptr<AgentPeers> m_peers;
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_stopped{ false };
};

} // namespace mulberrysail::daemon
