#pragma once

#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"

namespace mulberrysail::daemon {

/** @return hooks that are the same for all roles: the event log's clock, and
 * the record of messages that can't be read. */
network::TransportHooks
MakeCommonHooks(telemetry::IEventLog& aEvents);

} // namespace mulberrysail::daemon
