#pragma once

#include "daemon/iadapter.h"
#include "daemon/internal/agenthost.h"
#include "daemon/internal/router.h"

namespace mulberrysail::daemon {

/** HTTP routes by which an endpoint and workers announce themselves to their
 * agent. */
class AgentApi
{
public:
  /** @param aOnRejected called for each announcement that was refused. */
  AgentApi(AgentHost& aHost,
           const core::AgentPolicy& aPolicy,
           RejectionHook aOnRejected);

  /** Adds the routes to @p aRouter, which must not outlive this object. */
  void AddRoutes(Router& aRouter);

private:
  network::HttpResponse HandleEndpoint(const network::HttpRequest& aRequest);
  network::HttpResponse HandleWorker(const network::HttpRequest& aRequest);
  network::HttpResponse Reject(const network::HttpRequest& aRequest,
                               const core::Error& aError) const;

  AgentHost& m_host;
  const RejectionHook m_onRejected;
  core::Duration m_endpointLease;
  core::Duration m_workerLease;
};

} // namespace mulberrysail::daemon
