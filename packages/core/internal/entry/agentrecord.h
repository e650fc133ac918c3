#pragma once

#include "core/internal/entry/runtimemodel.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>

namespace mulberrysail::core {

/** An offer that no load report reflects yet. */
struct UnreflectedOffer
{
  std::uint64_t m_sequence = 0;
  WorkKind m_kind = WorkKind::Request;
  Duration m_expectedRun{};
  Resources m_need;
};

/** Everything that an entry knows of one agent in one of its lives. */
struct AgentRecord
{
  ProcessId m_id;
  Announce m_announced;
  Instant m_joinedAt;
  /** All services that its endpoint has had, and since when: it may hold
   * caller keys of them. */
  std::map<std::string, Instant, std::less<>> m_servedSince;
  /** When the last message came from it, and went to it. */
  Instant m_lastReceivedAt;
  Instant m_lastSentAt;
  /** When it was asked for a sign of life that it has not given yet. */
  std::optional<Instant> m_heartbeatPendingSince;
  /** Its clock less ours, never more than the truth: the message that told
   * us was on its way for a while. */
  Duration m_clockOffset{};
  /** False after a send failed, until it is heard again. */
  bool m_reachable = true;
  LoadReport m_load;
  /** When the load was told. */
  Instant m_loadReceivedAt;
  std::uint64_t m_offersSent = 0;
  std::deque<UnreflectedOffer> m_unreflectedOffers;
  std::unordered_set<AttemptId> m_openAttempts;
  SpeedModel m_speed;
  ConfigVersion m_sentConfig;
  Instant m_configSentAt;

  bool ServesRequests(std::string_view aService) const
  {
    return m_reachable && !m_announced.m_leaving &&
           m_announced.m_endpoint.has_value() &&
           !m_announced.m_endpoint->m_leaving &&
           m_announced.m_endpoint->m_service == aService;
  }

  bool ServesTasks() const
  {
    return m_reachable && !m_announced.m_leaving &&
           !m_announced.m_workers.empty();
  }

  std::uint32_t EndpointSlots() const
  {
    return m_announced.m_endpoint ? m_announced.m_endpoint->m_slots : 0;
  }
};

} // namespace mulberrysail::core
