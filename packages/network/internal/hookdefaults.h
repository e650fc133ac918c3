#pragma once

#include "network/imessagetransport.h"

namespace mulberrysail::network {

/** @return @p aHooks with a default for each hook that is empty: callbacks do
 * nothing, the timestamp is zero, and the clock is the monotonic one. */
TransportHooks
WithDefaults(TransportHooks aHooks);

} // namespace mulberrysail::network
