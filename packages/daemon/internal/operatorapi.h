#pragma once

#include "core/types/ids.h"
#include "daemon/internal/metriclist.h"
#include "daemon/internal/router.h"
#include "telemetry/ieventlog.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string_view>

namespace mulberrysail::daemon {

/** Callbacks of a role for the operators' routes. Called from any thread. */
struct OperatorHooks
{
  /** Returns the reason why the process is not ready; empty if it is ready. */
  std::function<std::string_view()> m_notReadyReason;
  /** Adds the fields of the role to those common to all roles. */
  std::function<void(nlohmann::json&)> m_status;
  /** Adds the metrics of the role. */
  std::function<void(MetricList&)> m_metrics;
  /** Requests that the process drain. */
  std::function<void()> m_drain;
};

/** Adds the HTTP routes for operators that both roles have. */
void
AddOperatorRoutes(Router& aRouter,
                  const core::ProcessId& aSelf,
                  telemetry::IEventLog& aEvents,
                  OperatorHooks aHooks);

/** Makes the process drain by sending SIGTERM to it. */
void
RequestDrain();

/** @return a response with a JSON body. */
network::HttpResponse
MakeJsonResponse(int aStatus, const nlohmann::json& aBody);

} // namespace mulberrysail::daemon
