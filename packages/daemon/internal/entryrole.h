#pragma once

#include "daemon/internal/clock.h"
#include "daemon/internal/configapi.h"
#include "daemon/internal/configgate.h"
#include "daemon/internal/configholder.h"
#include "daemon/internal/drainapi.h"
#include "daemon/internal/entryapi.h"
#include "daemon/internal/entrypeers.h"
#include "daemon/internal/jobgateway.h"
#include "daemon/internal/metriclist.h"
#include "daemon/internal/processorsampler.h"
#include "daemon/internal/routedhttpserver.h"
#include "daemon/internal/shardset.h"
#include "daemon/internal/storelink.h"
#include "daemon/irole.h"
#include "store/iconfigservice.h"
#include "telemetry/ieventlog.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** The entry process, to which callers submit requests and jobs. */
class EntryRole : public IRole
{
public:
  EntryRole(const Settings& aSettings,
            const IAdapter* aAdapter,
            telemetry::ILogOutput& aOutput);
  ~EntryRole() override;

  std::optional<core::Error> Start();

  void Drain() override;
  bool Drained() const override;
  void Leave() override;
  void Stop() override;
  telemetry::IEventLog& Events() override { return *m_events; }

private:
  /** @return role, addresses, zone and number of shards, for the start
   * event. */
  core::EventDetail Describe() const;
  core::Result<std::unique_ptr<network::IMessageTransport>> StartTransport(
    const core::ProcessId& aSelf,
    std::size_t aShard,
    EntryShard& aOwner);
  network::TransportHooks MakeHooks(EntryShard& aOwner);
  void OnMessage(EntryShard& aOwner, core::MessageReceived aReceived);
  /** Tells the shards until when their callers have been read; see
   * network::HttpServerOptions::m_onReadCheck. */
  void OnReadCheck();
  void OnConfig(core::ConfigChanged aConfig);
  void OnRotation(const core::ChangeRotation& aChange);
  void OnDrains(core::ZoneDrains aDrains);
  void OnStoreAvailability(bool aAvailable, const std::string& aCause);
  void StartConfig();
  void StartPeers();
  void StartSampling();
  void AddRoutes();
  void AddStatus(nlohmann::json& aStatus) const;
  /** @return the version of the configuration in force, 0 for none. */
  std::uint64_t ConfigVersion() const;
  /** Starts to serve an adapter's callers once the configuration and an agent
   * are known. */
  void ServeCallersIfReady();
  void AddMetrics(MetricList& aMetrics) const;
  std::optional<core::Error> ListenForAdapter();
  network::HttpResponse MakeReadinessResponse() const;
  /** Refuses new work from now on. Called at the end of the drain's accept
   * period. */
  void StartRefusing();
  std::string_view NotReadyReason() const;
  bool HasReachableAgent() const;
  std::string HttpUrl() const;
  /** @return the URL at which other processes reach a shard. */
  std::string MessageUrl(std::size_t aShard) const;

  const Settings m_settings;
  const core::ProcessId m_self;
  std::unique_ptr<telemetry::IEventLog> m_events;
  RoutedHttpServer m_httpServer;
  ConfigHolder m_config;
  ConfigGate m_gate;
  ShardSet m_shards;
  StoreLink m_storeLink;
  const std::shared_ptr<EntryPeers> m_peers;
  /** Set before the transports start, as received ConfigUpdate messages are
   * passed to it. */
  std::shared_ptr<store::IConfigService> m_configService;
  /** Null if the entry does not forward jobs. */
  std::shared_ptr<ProcessorSampler> m_sampler;
  EntryApi m_api;
  /** Null if only the native interface is served. */
  const IAdapter* const m_adapter;
  JobGateway m_jobGateway;
  RoutedHttpServer m_callerServer;
  RoutedHttpServer m_readinessServer;
  std::optional<ConfigApi> m_configApi;
  std::optional<DrainApi> m_drainApi;
  /** Set by Drain(). */
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_inRotation{ true };
  /** Used on the thread of m_callerServer only. */
  core::Instant m_lastReadCheckAt = Now();
  /** Set by StartRefusing(). */
  std::atomic<bool> m_refusing{ false };
  std::atomic<bool> m_stopped{ false };
};

} // namespace mulberrysail::daemon
