#pragma once

#include "core/types/status.h"
#include "core/types/zonedrains.h"
#include "daemon/internal/metriclist.h"
#include "daemon/internal/router.h"
#include "daemon/internal/shardset.h"
#include "store/iconfigservice.h"
#include "telemetry/ieventlog.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/** HTTP routes and metrics by which operators drain zones and follow a drain.
 */
class DrainApi
{
public:
  DrainApi(store::IConfigService& aService,
           const ShardSet& aShards,
           telemetry::IEventLog& aEvents);

  /** Adds the routes to @p aRouter, which must not outlive this object. */
  void AddRoutes(Router& aRouter);

  void AddMetrics(MetricList& aMetrics) const;

private:
  network::HttpResponse Read() const;
  network::DisconnectHook Change(std::string_view aZone,
                                 bool aDrained,
                                 network::HttpResponder aResponder);
  /** Records the result of a change and answers the operator. */
  void Answer(const std::string& aZone,
              bool aDrained,
              const core::Result<void>& aResult,
              const network::HttpResponder& aResponder) const;

  store::IConfigService& m_service;
  const ShardSet& m_shards;
  telemetry::IEventLog& m_events;
};

/** @return the number of agents in touch whose copy of the drained zones
 * differs from @p aDrains. */
std::size_t
CountUnacknowledged(const std::vector<core::AgentStatus>& aAgents,
                    const core::ZoneDrains& aDrains);

} // namespace mulberrysail::daemon
