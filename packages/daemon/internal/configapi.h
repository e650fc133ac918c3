#pragma once

#include "daemon/internal/configholder.h"
#include "daemon/internal/router.h"
#include "store/iconfigservice.h"
#include "telemetry/ieventlog.h"

namespace mulberrysail::daemon {

/** HTTP routes by which operators read and patch the configuration. */
class ConfigApi
{
public:
  ConfigApi(store::IConfigService& aService,
            const ConfigHolder& aConfig,
            telemetry::IEventLog& aEvents);

  /** Adds the routes to @p aRouter, which must not outlive this object. */
  void AddRoutes(Router& aRouter);

private:
  network::HttpResponse Read() const;
  network::DisconnectHook Patch(const network::HttpRequest& aRequest,
                                network::HttpResponder aResponder);

  store::IConfigService& m_service;
  const ConfigHolder& m_config;
  telemetry::IEventLog& m_events;
};

} // namespace mulberrysail::daemon
