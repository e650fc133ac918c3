#pragma once

#include "core/types/messages.h"

#include <optional>
#include <string>

namespace mulberrysail::core::agent {

/** The endpoint on the same machine as the agent. */
struct EndpointSection
{
  /** Absent if no endpoint has announced itself or the lease of its
   * announcement has expired. */
  std::optional<EndpointInfo> m_info;
  std::string m_url;
  Instant m_leaseEnds;
  /** Set when queued requests may have to be refused because the endpoint
   * changed or expired, the agent is draining, or its zone was drained. */
  bool m_recheckQueuedRequests = false;
  /** Running requests, including those of an endpoint that was removed. */
  std::uint32_t m_runningRequests = 0;
};

} // namespace mulberrysail::core::agent
