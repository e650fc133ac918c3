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
  /** Returns why the process accepts no new work; empty if it does. */
  std::function<std::string_view()> m_notReadyReason;
  /** Adds the fields of the role to those common to all roles. */
  std::function<void(nlohmann::json&)> m_status;
  std::function<void(MetricList&)> m_metrics;
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
