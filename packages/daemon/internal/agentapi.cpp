#include "daemon/internal/agentapi.h"

#include "daemon/internal/announcementcodec.h"
#include "daemon/internal/operatorapi.h"
#include "network/errorresponse.h"

#include <utility>

namespace mulberrysail::daemon {

namespace {

using network::HttpRequest;
using network::HttpResponse;

constexpr int kOk = 200;

HttpResponse
MakeLeaseResponse(core::Duration aLease)
{
  const std::chrono::milliseconds lease =
    std::chrono::floor<std::chrono::milliseconds>(aLease);
  return MakeJsonResponse(kOk, { { "lease_ms", lease.count() } });
}

} // namespace

AgentApi::AgentApi(AgentHost& aHost,
                   const core::AgentPolicy& aPolicy,
                   RejectionHook aOnRejected)
  : m_host(aHost)
  , m_onRejected(std::move(aOnRejected))
  , m_endpointLease(aPolicy.m_endpointLease)
  , m_workerLease(aPolicy.m_workerLease)
{
}

void
AgentApi::AddRoutes(Router& aRouter)
{
  aRouter.AddSimple("POST",
                    "/v1/endpoint",
                    [this](const HttpRequest& aRequest, PathParameters) {
                      return HandleEndpoint(aRequest);
                    });
  aRouter.AddSimple(
    "POST", "/v1/workers", [this](const HttpRequest& aRequest, PathParameters) {
      return HandleWorker(aRequest);
    });
}

HttpResponse
AgentApi::Reject(const HttpRequest& aRequest, const core::Error& aError) const
{
  m_onRejected(aRequest.m_path, aError);
  return network::MakeErrorResponse(aError.m_kind, { aError.m_detail });
}

HttpResponse
AgentApi::HandleEndpoint(const HttpRequest& aRequest)
{
  core::Result<core::EndpointAnnounced> announced =
    ParseEndpointBody(aRequest.m_body);
  if (!announced) {
    return Reject(aRequest, announced.error());
  }
  m_host.Handle(std::move(announced).value());
  return MakeLeaseResponse(m_endpointLease);
}

HttpResponse
AgentApi::HandleWorker(const HttpRequest& aRequest)
{
  core::Result<core::WorkerAnnounced> announced =
    ParseWorkerBody(aRequest.m_body);
  if (!announced) {
    return Reject(aRequest, announced.error());
  }
  m_host.Handle(std::move(announced).value());
  return MakeLeaseResponse(m_workerLease);
}

} // namespace mulberrysail::daemon
