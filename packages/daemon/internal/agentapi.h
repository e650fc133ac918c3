#pragma once

#include "daemon/internal/agenthost.h"
#include "daemon/internal/router.h"

namespace mulberrysail::daemon {

/** HTTP routes by which an endpoint and workers announce themselves to their
 * agent. */
class AgentApi
{
public:
  AgentApi(AgentHost& aHost, const core::AgentPolicy& aPolicy);

  /** Adds the routes to @p aRouter, which must not outlive this object. */
  void AddRoutes(Router& aRouter);

private:
  network::HttpResponse HandleEndpoint(const network::HttpRequest& aRequest);
  network::HttpResponse HandleWorker(const network::HttpRequest& aRequest);

  AgentHost& m_host;
  core::Duration m_endpointLease;
  core::Duration m_workerLease;
};

} // namespace mulberrysail::daemon
