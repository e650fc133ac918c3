#pragma once

#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"

namespace mulberrysail::daemon {

/** @return the hooks that all roles share: those for the monotonic time and the
 * stamps of the event log, and the one that records rejected messages. */
network::TransportHooks
MakeCommonHooks(telemetry::IEventLog& aEvents);

} // namespace mulberrysail::daemon
