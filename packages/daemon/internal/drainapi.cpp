#include "daemon/internal/drainapi.h"

#include "daemon/internal/operatorapi.h"
#include "daemon/settings/settingfield.h"
#include "network/errorresponse.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using core::ErrorKind;
using network::HttpRequest;
using network::HttpResponder;
using network::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr std::chrono::seconds kRetryAfter{ 1 };

milliseconds
UnixTime()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

/** @return the agents, the names of those in touch that have not acknowledged
 * the copy, and the open attempts of one drained zone. */
json
ZoneToJson(const std::string& aZone,
           const std::vector<core::AgentStatus>& aAgents,
           std::uint64_t aDigest)
{
  std::size_t agents = 0;
  std::size_t acknowledged = 0;
  std::uint64_t openAttempts = 0;
  json pending = json::array();
  for (const core::AgentStatus& agent : aAgents) {
    if (agent.m_zone != aZone) {
      continue;
    }
    ++agents;
    openAttempts += agent.m_openAttempts;
    if (agent.m_load.m_drainsDigest == aDigest) {
      ++acknowledged;
    } else {
      pending.push_back(agent.m_agent.m_name);
    }
  }
  return { { "zone", aZone },
           { "since_ms", nullptr },
           { "agents", agents },
           { "acknowledged", acknowledged },
           { "not_acknowledged", std::move(pending) },
           { "open_attempts", openAttempts } };
}

} // namespace

DrainApi::DrainApi(store::IConfigService& aService,
                   const ShardSet& aShards,
                   telemetry::IEventLog& aEvents)
  : m_service(aService)
  , m_shards(aShards)
  , m_events(aEvents)
{
}

void
DrainApi::AddRoutes(Router& aRouter)
{
  aRouter.AddSimple(
    "GET", "/v1/drains", [this](const HttpRequest&, PathParameters) {
      return Read();
    });
  for (const auto& [method, drained] :
       { std::pair("PUT", true), std::pair("DELETE", false) }) {
    aRouter.Add(method,
                "/v1/drains/{}",
                [this, isDrained = drained](const HttpRequest&,
                                            PathParameters aParameters,
                                            HttpResponder aResponder) {
                  return Change(
                    aParameters[0], isDrained, std::move(aResponder));
                });
  }
}

void
DrainApi::AddMetrics(MetricList& aMetrics) const
{
  const core::ZoneDrains drains = m_shards.Drains();
  aMetrics.AddGauge(
    "drained_zones", "Zones that get no work.", drains.m_zones.size());
  aMetrics.AddGauge("drains_unacknowledged_agents",
                    "Agents in touch whose copy of the drained zones differs "
                    "from the entry's.",
                    CountUnacknowledged(m_shards.Agents(), drains));
}

HttpResponse
DrainApi::Read() const
{
  const core::ZoneDrains drains = m_shards.Drains();
  const std::vector<core::AgentStatus> agents = m_shards.Agents();
  const std::map<std::string, milliseconds> times = m_service.DrainTimes();
  json zones = json::array();
  for (const std::string& zone : drains.m_zones) {
    json item = ZoneToJson(zone, agents, drains.Digest());
    const auto since = times.find(zone);
    if (since != times.end()) {
      item["since_ms"] = since->second.count();
    }
    zones.push_back(std::move(item));
  }
  return MakeJsonResponse(
    kOk,
    { { "revision", drains.m_revision },
      { "unacknowledged_agents", CountUnacknowledged(agents, drains) },
      { "zones", std::move(zones) } });
}

network::DisconnectHook
DrainApi::Change(std::string_view aZone,
                 bool aDrained,
                 HttpResponder aResponder)
{
  if (!input::HasForm(aZone, TextForm::Name)) {
    aResponder(network::MakeErrorResponse(
      ErrorKind::MalformedRequest,
      { "zone: expected 1 to 64 letters, digits, '.', '_' or '-'" }));
    return {};
  }
  const std::string zone(aZone);
  store::DrainCallback callback =
    [this, zone, aDrained, responder = std::move(aResponder)](
      const core::Result<void>& aResult) {
      Answer(zone, aDrained, aResult, responder);
    };
  if (aDrained) {
    m_service.DrainZone(zone, UnixTime(), std::move(callback));
  } else {
    m_service.UndrainZone(zone, std::move(callback));
  }
  return {};
}

void
DrainApi::Answer(const std::string& aZone,
                 bool aDrained,
                 const core::Result<void>& aResult,
                 const HttpResponder& aResponder) const
{
  core::EventDetail detail =
    core::EventDetail().Add("zone", aZone).Add("drained", aDrained ? 1 : 0);
  if (aResult.has_error()) {
    const core::Error& error = aResult.error();
    m_events.Record(
      core::EventCode::ZoneDrainRejected,
      detail.Add("cause", core::DescribeError(error.m_kind).m_name)
        .Add("why", error.m_detail));
    aResponder(network::MakeErrorResponse(error.m_kind,
                                          { error.m_detail, kRetryAfter }));
    return;
  }
  m_events.Record(core::EventCode::ZoneDrainAccepted, std::move(detail));
  aResponder(
    MakeJsonResponse(kOk, { { "zone", aZone }, { "drained", aDrained } }));
}

std::size_t
CountUnacknowledged(const std::vector<core::AgentStatus>& aAgents,
                    const core::ZoneDrains& aDrains)
{
  const std::uint64_t digest = aDrains.Digest();
  return static_cast<std::size_t>(std::count_if(
    aAgents.begin(), aAgents.end(), [digest](const core::AgentStatus& aAgent) {
      return aAgent.m_reachable && aAgent.m_load.m_drainsDigest != digest;
    }));
}

} // namespace mulberrysail::daemon
