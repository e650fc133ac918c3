#include "daemon/internal/entryrole.h"

#include "daemon/internal/clock.h"
#include "daemon/internal/operatorapi.h"
#include "daemon/internal/statuscodec.h"
#include "daemon/internal/transporthooks.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberrysail::daemon {

namespace {

/** How long after its start an entry waits for agents to report their
 * configuration versions before it treats the store's configuration as
 * confirmed. */
constexpr core::Duration kConfirmationTimeout = std::chrono::seconds(2);
/** How long after its start an entry holds the requests of an adapter's callers
 * until it knows the configuration and an agent. */
constexpr core::Duration kMaxRequestHold = std::chrono::seconds(1);

ShardSet::CoreFactory
MakeCoreFactory(const Settings& aSettings)
{
  return [&aSettings](const core::ProcessId& aSelf, std::uint8_t aShard) {
    return core::MakeEntry(aSelf,
                           aShard,
                           aSettings.m_entryPolicy,
                           DeriveSeed(aSettings.m_seed, aSelf));
  };
}

/** @return @p aUrl with @p aOffset added to its port. */
std::string
OffsetPort(const std::string& aUrl, std::size_t aOffset)
{
  const std::size_t colon = aUrl.rfind(':') + 1;
  const unsigned long port = std::stoul(aUrl.substr(colon));
  return aUrl.substr(0, colon) + std::to_string(port + aOffset);
}

} // namespace

EntryRole::EntryRole(const Settings& aSettings,
                     const IAdapter* aAdapter,
                     telemetry::ILogOutput& aOutput)
  : m_settings(aSettings)
  , m_self{ aSettings.m_name, MakeIncarnation() }
  , m_events(telemetry::MakeEventLog(
      m_self,
      { aSettings.m_timelineEvents, aSettings.m_log.m_linesPerSecond },
      &aOutput))
  , m_gate(
      [this](core::ConfigChanged aConfig) { OnConfig(std::move(aConfig)); })
  , m_shards(m_self, aSettings.m_shards, *m_events, MakeCoreFactory(m_settings))
  , m_storeLink(aSettings.m_storeUrls, aAdapter)
  , m_peers(std::make_shared<EntryPeers>(m_shards, m_storeLink, *m_events))
  , m_api(m_shards, m_config, m_httpServer.Metrics(), aSettings.m_limits)
  , m_adapter(aAdapter)
  , m_jobGateway(m_shards, m_config, m_httpServer.Metrics(), *m_events)
{
}

EntryRole::~EntryRole()
{
  Stop();
}

std::optional<core::Error>
EntryRole::Start()
{
  if (std::optional<core::Error> error =
        m_httpServer.Listen(m_settings.m_http)) {
    return error;
  }
  if (std::optional<core::Error> error = ListenForAdapter()) {
    return error;
  }
  StartConfig();
  std::optional<core::Error> error = m_shards.Start(
    [this](
      const core::ProcessId& aSelf, std::size_t aShard, EntryShard& aOwner) {
      return StartTransport(aSelf, aShard, aOwner);
    });
  if (error) {
    return error;
  }
  StartPeers();
  StartSampling();
  AddRoutes();
  m_httpServer.StartServing();
  m_readinessServer.StartServing();
  ServeCallersIfReady();
  m_storeLink.Timer().After(kMaxRequestHold,
                            [this] { m_callerServer.StartServing(); });
  m_events->Record(core::EventCode::ProcessStarted, Describe());
  return std::nullopt;
}

std::optional<core::Error>
EntryRole::ListenForAdapter()
{
  if (m_adapter == nullptr) {
    return std::nullopt;
  }
  m_callerServer.HoldUntilServing();
  m_callerServer.OnReadCheck([this] { OnReadCheck(); });
  m_callerServer.SetSettleTime(m_settings.m_adapter.m_settleTime);
  m_callerServer.SetHandler(m_adapter->MakeCallerHandler(m_jobGateway));
  m_readinessServer.SetHandler(
    [this](const network::HttpRequest&,
           const network::HttpResponder& aResponder) {
      aResponder(MakeReadinessResponse());
      return network::DisconnectHook();
    });
  const AdapterSettings& adapter = m_settings.m_adapter;
  if (std::optional<core::Error> error =
        m_callerServer.ListenAt(adapter.m_listen, m_settings.m_http)) {
    return error;
  }
  HttpSettings readinessSettings = m_settings.m_http;
  readinessSettings.m_threads = 1;
  return m_readinessServer.ListenAt(adapter.m_readyListen, readinessSettings);
}

network::HttpResponse
EntryRole::MakeReadinessResponse() const
{
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  const std::string_view reason = NotReadyReason();
  return MakeJsonResponse(reason.empty() ? kOk : kUnavailable,
                          { { "status", reason.empty() ? "ready" : reason } });
}

void
EntryRole::StartConfig()
{
  store::ConfigHooks hooks;
  hooks.m_onChange = [this](core::ConfigChanged aConfig) {
    m_gate.Receive(std::move(aConfig));
  };
  hooks.m_onAvailabilityChange = [this](bool aAvailable,
                                        const std::string& aCause) {
    OnStoreAvailability(aAvailable, aCause);
  };
  hooks.m_onWatchEnded = [this](const std::string& aCause) {
    m_events->Record(core::EventCode::StoreWatchEnded,
                     core::EventDetail().Add("cause", aCause));
  };
  hooks.m_onAbsent = [this] {
    m_gate.Confirm();
    m_shards.Broadcast(core::NoPriorSubmissions{});
  };
  hooks.m_onUnreadable = [this](const std::string& aDetail) {
    m_events->Record(core::EventCode::ConfigUnreadable,
                     core::EventDetail().Add("cause", aDetail));
  };
  hooks.m_onDrainsChange = [this](core::ZoneDrains aDrains) {
    OnDrains(std::move(aDrains));
  };
  hooks.m_onDrainUnreadable = [this](const std::string& aDetail) {
    m_events->Record(core::EventCode::ZoneDrainUnreadable,
                     core::EventDetail().Add("cause", aDetail));
  };
  m_storeLink.Timer().After(kConfirmationTimeout, [this] { m_gate.Confirm(); });
  m_configService = store::StartConfigService(
    m_storeLink.Store(),
    m_storeLink.Timer(),
    static_cast<std::uint32_t>(MakeRandomSeed()),
    std::move(hooks),
    m_adapter == nullptr ? std::nullopt
                         : std::optional(m_adapter->MakeConfigSource()));
}

void
EntryRole::StartPeers()
{
  std::vector<std::string> urls;
  for (std::size_t i = 0; i < m_shards.Size(); ++i) {
    urls.push_back(MessageUrl(i));
  }
  m_peers->Start(
    urls, HttpUrl(), m_settings.m_entries, m_settings.m_storeLease);
}

void
EntryRole::StartSampling()
{
  const core::EntryPolicy& policy = m_settings.m_entryPolicy;
  const bool needed = policy.m_forwardJobs || policy.m_shedConnections;
  if (!needed || policy.m_processorShare <= 0) {
    return;
  }
  m_sampler = std::make_shared<ProcessorSampler>(
    m_storeLink.Timer(),
    policy.m_processorShare,
    ProcessorTime,
    [this](core::ProcessorSampled aSample) { m_shards.At(0).Handle(aSample); });
  m_sampler->Start();
}

void
EntryRole::OnReadCheck()
{
  m_shards.Broadcast(core::CallersRead{ m_lastReadCheckAt });
  m_lastReadCheckAt = Now();
}

void
EntryRole::OnConfig(core::ConfigChanged aConfig)
{
  // The shards come first: a request that finds a queue in m_config must not be
  // told by a shard that there is none.
  m_shards.Broadcast(aConfig);
  m_config.Set(std::move(aConfig));
  ServeCallersIfReady();
}

void
EntryRole::OnRotation(const core::ChangeRotation& aChange)
{
  m_inRotation = aChange.m_inRotation;
  m_httpServer.CloseConnections(aChange.m_closePercent);
  m_callerServer.CloseConnections(aChange.m_closePercent);
}

void
EntryRole::OnDrains(core::ZoneDrains aDrains)
{
  std::string zones;
  for (const std::string& zone : aDrains.m_zones) {
    zones += (zones.empty() ? "" : ",") + zone;
  }
  m_events->Record(core::EventCode::ZoneDrainsRead,
                   core::EventDetail()
                     .Add("revision", aDrains.m_revision)
                     .Add("zones", zones));
  m_shards.Broadcast(core::ZoneDrainsChanged{ std::move(aDrains) });
}

void
EntryRole::ServeCallersIfReady()
{
  if (!m_callerServer.IsServing() && m_config.Get() && HasReachableAgent()) {
    m_callerServer.StartServing();
  }
}

void
EntryRole::OnStoreAvailability(bool aAvailable, const std::string& aCause)
{
  m_events->Record(aAvailable ? core::EventCode::StoreRecovered
                              : core::EventCode::StoreUnavailable,
                   core::EventDetail()
                     .Add("dependency", "store")
                     .Add("config", ConfigVersion())
                     .Add("cause", aCause));
}

core::Result<std::unique_ptr<network::IMessageTransport>>
EntryRole::StartTransport(const core::ProcessId& aSelf,
                          std::size_t aShard,
                          EntryShard& aOwner)
{
  aOwner.SetConfigSink([this](core::ApplyConfig aConfig) {
    m_configService->ApplyPeerConfig(aConfig.m_version,
                                     std::move(aConfig.m_document));
  });
  aOwner.SetRotationSink(
    [this](const core::ChangeRotation& aChange) { OnRotation(aChange); });
  const std::uint16_t port = m_settings.m_messages.m_port;
  network::TransportOptions options;
  options.m_self = aSelf;
  options.m_address = m_settings.m_messages.m_address;
  options.m_port = port == 0 ? port : static_cast<std::uint16_t>(port + aShard);
  return network::StartMessageTransport(options, MakeHooks(aOwner));
}

network::TransportHooks
EntryRole::MakeHooks(EntryShard& aOwner)
{
  network::TransportHooks hooks = MakeCommonHooks(*m_events);
  hooks.m_onMessage = [this, &aOwner](core::MessageReceived aReceived) {
    OnMessage(aOwner, std::move(aReceived));
  };
  hooks.m_onLinkOpened = [&aOwner](core::ProcessId aPeer) {
    aOwner.Handle(core::LinkReset{ std::move(aPeer) });
  };
  hooks.m_onSendFailed = [this, &aOwner](core::ProcessId aTo,
                                         core::Message aMessage) {
    m_events->Record(core::EventCode::MessageDropped,
                     core::DescribeProcess("peer", aTo));
    aOwner.Handle(core::SendFailed{ std::move(aTo), std::move(aMessage) });
  };
  return hooks;
}

void
EntryRole::OnMessage(EntryShard& aOwner, core::MessageReceived aReceived)
{
  if (const core::Announce* announce =
        std::get_if<core::Announce>(&aReceived.m_message)) {
    m_gate.OnAgentVersion(announce->m_load.m_newestConfig);
  }
  aOwner.Handle(std::move(aReceived));
  ServeCallersIfReady();
}

void
EntryRole::AddRoutes()
{
  m_api.AddRoutes(m_httpServer.Routes());
  m_configApi.emplace(*m_configService, m_config, *m_events);
  m_configApi->AddRoutes(m_httpServer.Routes());
  m_drainApi.emplace(*m_configService, m_shards, *m_events);
  m_drainApi->AddRoutes(m_httpServer.Routes());
  OperatorHooks hooks;
  hooks.m_notReadyReason = [this] { return NotReadyReason(); };
  hooks.m_drain = RequestDrain;
  hooks.m_status = [this](nlohmann::json& aStatus) { AddStatus(aStatus); };
  hooks.m_metrics = [this](MetricList& aMetrics) { AddMetrics(aMetrics); };
  AddOperatorRoutes(m_httpServer.Routes(), m_self, *m_events, std::move(hooks));
}

void
EntryRole::AddStatus(nlohmann::json& aStatus) const
{
  aStatus["role"] = "entry";
  aStatus["zone"] = m_settings.m_zone;
  aStatus["draining"] = m_draining.load();
  aStatus["config_version"] = ConfigVersion();
  aStatus["counters"] = CountersToJson(m_shards.Counters());
}

std::uint64_t
EntryRole::ConfigVersion() const
{
  const std::shared_ptr<const core::ConfigChanged> config = m_config.Get();
  return config ? config->m_configuration.m_version.m_value : 0;
}

void
EntryRole::AddMetrics(MetricList& aMetrics) const
{
  aMetrics.AddCoreCounters("entry", EntryCounterRows(), m_shards.Counters());
  aMetrics.AddTransport(m_shards.TransportCounters());
  aMetrics.AddCounter(
    "store_calls", "Calls to the store.", m_storeLink.Store().Calls());
  aMetrics.AddGauge("config_version",
                    "Version of the configuration in force, 0 for none.",
                    ConfigVersion());
  m_drainApi->AddMetrics(aMetrics);
  aMetrics.AddProcess();
  aMetrics.AddLog(m_events->Log());
  aMetrics.AddEvents(m_events->Counts());
  aMetrics.Append(m_httpServer.Metrics().Collect());
}

std::string_view
EntryRole::NotReadyReason() const
{
  if (m_draining) {
    return "draining";
  }
  if (!m_config.Get()) {
    return "no-configuration";
  }
  if (!m_inRotation) {
    return "overloaded";
  }
  // An entry that has just started knows no agents yet and would refuse work
  // that other entries can place.
  return HasReachableAgent() ? "" : "no-agent";
}

bool
EntryRole::HasReachableAgent() const
{
  const std::vector<core::AgentStatus> agents = m_shards.Agents();
  return std::any_of(
    agents.begin(), agents.end(), [](const core::AgentStatus& aAgent) {
      return aAgent.m_reachable && !aAgent.m_leaving;
    });
}

void
EntryRole::Drain()
{
  if (!m_draining.exchange(true)) {
    m_httpServer.EndKeepAlive();
    m_callerServer.EndKeepAlive();
    if (m_settings.m_drainAccept == core::Duration::zero()) {
      StartRefusing();
    } else {
      m_storeLink.Timer().After(m_settings.m_drainAccept,
                                [this] { StartRefusing(); });
    }
  }
}

void
EntryRole::StartRefusing()
{
  m_shards.Broadcast(core::DrainRequested{});
  m_refusing = true;
}

bool
EntryRole::Drained() const
{
  return m_refusing && m_shards.Idle() && m_httpServer.AllResponsesWritten() &&
         m_callerServer.AllResponsesWritten();
}

void
EntryRole::Leave()
{
  m_httpServer.StopAccepting();
  m_callerServer.StopAccepting();
  m_peers->Leave();
  m_events->Record(core::EventCode::ProcessStopped, core::EventDetail());
}

void
EntryRole::Stop()
{
  if (m_stopped.exchange(true)) {
    return;
  }
  m_httpServer.Stop();
  m_callerServer.Stop();
  m_readinessServer.Stop();
  m_peers->Stop();
  if (m_sampler) {
    m_sampler->Stop();
  }
  if (m_configService) {
    m_configService->Stop();
  }
  m_shards.Stop();
  m_storeLink.Stop();
}

std::string
EntryRole::MessageUrl(std::size_t aShard) const
{
  const std::string& advertised = m_settings.m_advertise.m_messageUrl;
  const std::uint16_t port = m_shards.At(aShard).Transport().Port();
  if (advertised.empty()) {
    return "tcp://" + JoinAddress(m_settings.m_messages.m_address, port);
  }
  return aShard == 0 ? advertised : OffsetPort(advertised, aShard);
}

std::string
EntryRole::HttpUrl() const
{
  const std::string& advertised = m_settings.m_advertise.m_httpUrl;
  return advertised.empty() ? m_httpServer.Url() : advertised;
}

core::EventDetail
EntryRole::Describe() const
{
  return core::EventDetail()
    .Add("role", "entry")
    .Add("http", m_httpServer.Url())
    .Add("messages", MessageUrl(0))
    .Add("zone", m_settings.m_zone)
    .Add("shards", m_settings.m_shards);
}

} // namespace mulberrysail::daemon
