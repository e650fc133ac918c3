#pragma once

#include "core/types/ids.h"
#include "daemon/internal/metriclist.h"
#include "daemon/internal/router.h"
#include "telemetry/ieventlog.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string_view>

namespace mulberrysail::daemon {

/** What a role tells operators; called from any thread. */
struct OperatorHooks
{
  /** Why it takes no new work; empty if it does. */
  std::function<std::string_view()> m_notReadyReason;
  /** Adds to the fields that all roles have. */
  std::function<void(nlohmann::json&)> m_status;
  std::function<void(MetricList&)> m_metrics;
  std::function<void()> m_drain;
};

/** Adds the routes that both roles have for operators. */
void
AddOperatorRoutes(Router& aRouter,
                  const core::ProcessId& aSelf,
                  telemetry::IEventLog& aEvents,
                  OperatorHooks aHooks);

/** Asks the process to drain, as SIGTERM does. */
void
RequestDrain();

/** @return a response with a JSON body. */
network::HttpResponse
MakeJsonResponse(int aStatus, const nlohmann::json& aBody);

} // namespace mulberrysail::daemon
