#include "daemon/internal/operatorapi.h"

#include "network/errorresponse.h"
#include "telemetry/timelinejson.h"

#include <signal.h>
#include <unistd.h>

#include <charconv>
#include <optional>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using network::HttpRequest;
using network::HttpResponse;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;

HttpResponse
MakeReadinessResponse(const OperatorHooks& aHooks)
{
  const std::string_view reason = aHooks.m_notReadyReason();
  if (!reason.empty()) {
    return MakeJsonResponse(kUnavailable, { { "status", reason } });
  }
  return MakeJsonResponse(kOk, { { "status", "ready" } });
}

HttpResponse
MakeMetricsResponse(const OperatorHooks& aHooks)
{
  MetricList metrics;
  aHooks.m_metrics(metrics);
  HttpResponse response;
  response.m_contentType = "text/plain; version=0.0.4";
  response.m_body = metrics.Text();
  return response;
}

/** @return the query parameter `since`, zero if it is absent, or nothing if it
 * is not a number. */
std::optional<std::uint64_t>
ReadSince(const HttpRequest& aRequest)
{
  const auto since = aRequest.m_query.find("since");
  if (since == aRequest.m_query.end()) {
    return 0;
  }
  const char* end = since->second.data() + since->second.size();
  std::uint64_t stamp = 0;
  const std::from_chars_result read =
    std::from_chars(since->second.data(), end, stamp);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return stamp;
}

HttpResponse
MakeTimelineResponse(const HttpRequest& aRequest,
                     const core::ProcessId& aSelf,
                     const telemetry::IEventLog& aEvents)
{
  const std::optional<std::uint64_t> since = ReadSince(aRequest);
  if (!since) {
    return network::MakeErrorResponse(core::ErrorKind::MalformedRequest,
                                      { "since: expected a stamp" });
  }
  HttpResponse response;
  response.m_body = telemetry::TimelineToJson(aSelf, aEvents.Events(*since));
  return response;
}

} // namespace

HttpResponse
MakeJsonResponse(int aStatus, const json& aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_body = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

void
RequestDrain()
{
  ::kill(::getpid(), SIGTERM);
}

void
AddOperatorRoutes(Router& aRouter,
                  const core::ProcessId& aSelf,
                  telemetry::IEventLog& aEvents,
                  OperatorHooks aHooks)
{
  const std::shared_ptr<const OperatorHooks> hooks =
    std::make_shared<const OperatorHooks>(std::move(aHooks));
  aRouter.AddSimple("GET", "/healthz", [](const HttpRequest&, PathParameters) {
    return MakeJsonResponse(kOk, { { "status", "ok" } });
  });
  aRouter.AddSimple(
    "GET", "/readyz", [hooks](const HttpRequest&, PathParameters) {
      return MakeReadinessResponse(*hooks);
    });
  aRouter.AddSimple(
    "GET", "/metrics", [hooks](const HttpRequest&, PathParameters) {
      return MakeMetricsResponse(*hooks);
    });
  aRouter.AddSimple(
    "GET",
    "/v1/timeline",
    [aSelf, &aEvents](const HttpRequest& aRequest, PathParameters) {
      return MakeTimelineResponse(aRequest, aSelf, aEvents);
    });
  aRouter.AddSimple(
    "GET", "/v1/status", [hooks, aSelf](const HttpRequest&, PathParameters) {
      json status = { { "name", aSelf.m_name },
                      { "incarnation", aSelf.m_incarnation.m_value } };
      hooks->m_status(status);
      return MakeJsonResponse(kOk, status);
    });
  aRouter.AddSimple(
    "POST", "/v1/drain", [hooks](const HttpRequest&, PathParameters) {
      hooks->m_drain();
      return MakeJsonResponse(kAccepted, { { "status", "draining" } });
    });
}

} // namespace mulberrysail::daemon
