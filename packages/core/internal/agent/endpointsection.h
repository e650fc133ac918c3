#pragma once

#include "core/types/messages.h"

#include <optional>
#include <string>

namespace mulberrysail::core::agent {

/** The endpoint beside the agent. */
struct EndpointSection
{
  /** Absent if none announced itself or its lease has lapsed. */
  std::optional<EndpointInfo> m_info;
  std::string m_url;
  Instant m_leaseEnds;
  /** Set when requests that wait may have lost their endpoint. */
  bool m_recheckQueuedRequests = false;
  /** Requests that run there, also those of an endpoint that is gone. */
  std::uint32_t m_running = 0;
};

} // namespace mulberrysail::core::agent
