#include "daemon/internal/agentrole.h"

#include "daemon/internal/clock.h"
#include "daemon/internal/operatorapi.h"
#include "daemon/internal/statuscodec.h"
#include "daemon/internal/transporthooks.h"

#include <utility>

namespace mulberrysail::daemon {

AgentRole::AgentRole(const Settings& aSettings,
                     const IAdapter* aAdapter,
                     telemetry::ILogOutput& aOutput)
  : m_settings(aSettings)
  , m_self{ aSettings.m_name, MakeIncarnation() }
  , m_events(telemetry::MakeEventLog(
      m_self,
      { aSettings.m_timelineEvents, aSettings.m_log.m_linesPerSecond },
      &aOutput))
  , m_client(network::StartHttpClient({}))
  , m_adapter(aAdapter)
{
}

AgentRole::~AgentRole()
{
  Stop();
}

std::optional<core::Error>
AgentRole::Start()
{
  if (std::optional<core::Error> error =
        m_httpServer.Listen(m_settings.m_http)) {
    return error;
  }
  if (std::optional<core::Error> error = ListenForAdapter()) {
    return error;
  }
  if (std::optional<core::Error> error = StartHost()) {
    return error;
  }
  StartPeers();
  AddRoutes();
  m_httpServer.StartServing();
  m_workerServer.StartServing();
  m_events->Record(core::EventCode::ProcessStarted, Describe());
  return std::nullopt;
}

std::optional<core::Error>
AgentRole::ListenForAdapter()
{
  if (m_adapter == nullptr) {
    return std::nullopt;
  }
  m_workerServer.SetHandler(m_adapter->MakeWorkerHandler(
    m_settings.m_adapter.m_workerUrl,
    [this](core::AgentEvent aEvent) { m_host->Handle(std::move(aEvent)); },
    [this](std::string_view aSource, const core::Error& aError) {
      RecordRejection(aSource, aError);
    }));
  return m_workerServer.ListenAt(m_settings.m_adapter.m_listen,
                                 m_settings.m_http);
}

std::unique_ptr<IRunner>
AgentRole::MakeRunner()
{
  if (m_adapter != nullptr) {
    return m_adapter->MakeRunner(*m_client, [this](core::AgentEvent aEvent) {
      m_host->Handle(std::move(aEvent));
    });
  }
  return std::make_unique<HttpRunner>(
    *m_client, m_self, [this](core::RunFinished aFinished) {
      m_host->Handle(std::move(aFinished));
    });
}

std::optional<core::Error>
AgentRole::StartHost()
{
  core::AgentPolicy policy = m_settings.m_agentPolicy;
  policy.m_httpAddress = m_settings.m_advertise.m_httpUrl.empty()
                           ? m_httpServer.Url()
                           : m_settings.m_advertise.m_httpUrl;
  m_runner = MakeRunner();
  m_host.emplace(
    core::MakeAgent(m_self, policy, DeriveSeed(m_settings.m_seed, m_self)),
    *m_events,
    *m_runner);
  m_api.emplace(*m_host,
                policy,
                [this](std::string_view aSource, const core::Error& aError) {
                  RecordRejection(aSource, aError);
                });
  std::optional<core::Error> error = m_host->StartTransport([this] {
    network::TransportOptions options;
    options.m_self = m_self;
    return network::StartMessageTransport(options, MakeHooks());
  });
  return error;
}

void
AgentRole::StartPeers()
{
  if (!m_settings.m_storeUrls.empty()) {
    m_storeLink.emplace(m_settings.m_storeUrls, m_adapter);
  }
  m_peers =
    std::make_shared<AgentPeers>(*m_host, *m_events, m_settings.m_entries);
  m_peers->Start(m_storeLink ? &*m_storeLink : nullptr);
}

network::TransportHooks
AgentRole::MakeHooks()
{
  network::TransportHooks hooks = MakeCommonHooks(*m_events);
  hooks.m_onMessage = [this](core::MessageReceived aReceived) {
    m_host->Handle(std::move(aReceived));
  };
  hooks.m_onLinkOpened = [this](core::ProcessId aPeer) {
    m_host->Handle(core::LinkReset{ std::move(aPeer) });
  };
  hooks.m_onSendFailed = [this](core::ProcessId aTo, core::Message aMessage) {
    m_events->Record(core::EventCode::MessageDropped,
                     core::DescribeProcess("peer", aTo));
    m_host->Handle(core::SendFailed{ std::move(aTo), std::move(aMessage) });
  };
  return hooks;
}

void
AgentRole::RecordRejection(std::string_view aSource, const core::Error& aError)
{
  m_events->Record(
    core::EventCode::AnnouncementRejected,
    core::EventDetail().Add("source", aSource).Add("cause", aError.m_detail));
}

void
AgentRole::AddRoutes()
{
  m_api->AddRoutes(m_httpServer.Routes());
  OperatorHooks hooks;
  hooks.m_notReadyReason = [this] { return NotReadyReason(); };
  hooks.m_drain = RequestDrain;
  hooks.m_status = [this](nlohmann::json& aStatus) {
    const core::AgentStatus status = m_host->Status();
    aStatus["role"] = "agent";
    aStatus["zone"] = m_settings.m_zone;
    aStatus["draining"] = m_draining.load();
    aStatus["config_version"] = status.m_load.m_newestConfig.m_value;
    aStatus["counters"] = CountersToJson(m_host->Counters());
    aStatus["agent"] = AgentToJson(status);
  };
  hooks.m_metrics = [this](MetricList& aMetrics) {
    aMetrics.AddCoreCounters("agent", AgentCounterRows(), m_host->Counters());
    aMetrics.AddTransport(m_host->Transport().Counters());
    aMetrics.AddCounter("store_calls",
                        "Calls to the store.",
                        m_storeLink ? m_storeLink->Store().Calls() : 0);
    aMetrics.AddProcess();
    aMetrics.AddLog(m_events->Log());
    aMetrics.AddEvents(m_events->Counts());
    aMetrics.Append(m_httpServer.Metrics().Collect());
  };
  AddOperatorRoutes(m_httpServer.Routes(), m_self, *m_events, std::move(hooks));
}

std::string_view
AgentRole::NotReadyReason() const
{
  return m_draining ? "draining" : "";
}

void
AgentRole::Drain()
{
  if (!m_draining.exchange(true)) {
    m_httpServer.EndKeepAlive();
    m_workerServer.EndKeepAlive();
    m_host->Handle(core::DrainRequested{});
  }
}

bool
AgentRole::Drained() const
{
  return m_draining && m_host->Idle() && m_httpServer.AllResponsesWritten();
}

void
AgentRole::Leave()
{
  m_httpServer.StopAccepting();
  m_workerServer.StopAccepting();
  m_events->Record(core::EventCode::ProcessStopped, core::EventDetail());
}

void
AgentRole::Stop()
{
  if (m_stopped.exchange(true)) {
    return;
  }
  m_httpServer.Stop();
  m_workerServer.Stop();
  if (m_peers) {
    m_peers->Stop();
  }
  if (m_storeLink) {
    m_storeLink->Stop();
  }
  if (m_host) {
    m_host->Stop();
  }
  m_client->Stop();
}

core::EventDetail
AgentRole::Describe() const
{
  return core::EventDetail()
    .Add("role", "agent")
    .Add("http", m_httpServer.Url())
    .Add("zone", m_settings.m_zone);
}

} // namespace mulberrysail::daemon
