#pragma once

#include "core/internal/entry/clockoffset.h"
#include "core/internal/entry/runtimemodel.h"
#include "core/internal/entry/taskspeeds.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace mulberrysail::core {

/** An offer that is not yet included in a load report of its agent. */
struct UnreflectedOffer
{
  std::uint64_t m_sequence = 0;
  WorkKind m_kind = WorkKind::Request;
  Duration m_expectedRun{};
  Resources m_need;
};

/** State that an entry keeps of one incarnation of an agent. */
struct AgentRecord
{
  ProcessId m_id;
  Announce m_announced;
  Instant m_joinedAt;
  /** All services that the agent's endpoint has served, and since when.
   * The agent may hold caller keys of each. */
  std::map<std::string, Instant, std::less<>> m_servedSince;
  /** When the last message was received from the agent. */
  Instant m_lastReceivedAt;
  /** When the last message was sent that renewed the lease of the attempts at
   * the agent. */
  Instant m_renewalSentAt;
  /** When that lease was granted; earlier than m_renewalSentAt if callers had
   * not been read. */
  Instant m_leaseGrantedAt;
  /** When the first heartbeat was sent that the agent has not answered. */
  std::optional<Instant> m_heartbeatPendingSince;
  /** The agent's clock minus this entry's clock. */
  ClockOffset m_clockOffset;

  /** Renews the lease of all attempts at the agent.
   * @param aGrantedAt see EntryBoard::LeaseTime().
   * @return @p aGrantedAt on the agent's clock, to be sent to the agent. */
  Instant RenewLease(Instant aNow, Instant aGrantedAt)
  {
    m_renewalSentAt = aNow;
    m_leaseGrantedAt = std::max(m_leaseGrantedAt, aGrantedAt);
    return aGrantedAt + m_clockOffset.At(aNow);
  }

  /** False after a send failed, a heartbeat or the lease timed out, or the
   * agent refused all work; true again with the next message from it. */
  bool m_reachable = true;
  LoadReport m_load;
  /** When m_load was received. */
  Instant m_loadReceivedAt;
  std::uint64_t m_offersSent = 0;
  std::deque<UnreflectedOffer> m_unreflectedOffers;
  std::unordered_set<AttemptId> m_openAttempts;
  /** Slowdown of the requests of its endpoint. */
  SlowdownModel m_slowdown;
  /** Slowdown of the tasks of its workers; EntryBoard::m_taskSpeeds relates it
   * to the mean of all agents. */
  SlowdownModel m_taskSlowdown;
  SpeedClass m_speedClass = SpeedClass::Normal;
  /** Whether the agent has to keep a copy of the configuration, and when the
   * last hello with the version was sent to it. */
  bool m_keepsConfig = false;
  Instant m_configHelloAt;
  /** Whether the agent's zone is in EntryBoard::m_drains. */
  bool m_isZoneDrained = false;
  /** LoadReport::m_drainsDigest of the agent's last refusal because its zone is
   * drained; zero if there was none. */
  std::uint64_t m_refusedDrainsDigest = 0;
  /** The workers that were announced last, also while none of them is live,
   * with the largest capacity that each has announced. */
  std::vector<WorkerInfo> m_lastWorkers;
  /** Whether isolated tasks may run on the agent's workers. While a queue is
   * isolated, no other tasks may. */
  bool m_takesIsolated = false;
  /** WorkerCrash::m_number of the last crash that the agent has announced. */
  std::uint64_t m_lastCrash = 0;
  /** When the last hello was sent that asked the agent to use its failing
   * workers. */
  Instant m_useFailingSentAt = Instant(std::chrono::hours(-1));
  /** When the last hello was sent because of a change of the drained zones. */
  Instant m_drainsHelloAt;

  /** @return whether the agent has refused work because its zone is drained,
   * and has not reported another list of drained zones since. An entry may not
   * have received that list yet. */
  bool RefusesForDrain() const
  {
    return m_refusedDrainsDigest != 0 &&
           m_refusedDrainsDigest == m_load.m_drainsDigest;
  }

  bool ServesRequests(std::string_view aService) const
  {
    return m_reachable && !m_announced.m_leaving && !m_isZoneDrained &&
           m_announced.m_endpoint.has_value() &&
           !m_announced.m_endpoint->m_leaving &&
           m_announced.m_endpoint->m_service == aService;
  }

  bool ServesTasks() const
  {
    return m_reachable && !m_announced.m_leaving && !m_isZoneDrained &&
           !m_announced.m_workers.empty();
  }

  /** Updates m_lastWorkers from m_announced. */
  void RememberWorkers()
  {
    if (m_announced.m_workers.empty()) {
      return;
    }
    std::vector<WorkerInfo> workers = m_announced.m_workers;
    for (WorkerInfo& worker : workers) {
      for (const WorkerInfo& earlier : m_lastWorkers) {
        if (earlier.m_name == worker.m_name) {
          worker.m_capacity.RaiseTo(earlier.m_capacity);
        }
      }
    }
    m_lastWorkers = std::move(workers);
  }

  /** @return whether @p aLabel is empty or a worker of the agent has it. */
  bool HasLabelOrNone(std::string_view aLabel) const
  {
    return aLabel.empty() || std::any_of(m_announced.m_workers.begin(),
                                         m_announced.m_workers.end(),
                                         [&](const WorkerInfo& aWorker) {
                                           return aWorker.HasLabel(aLabel);
                                         });
  }

  std::uint32_t EndpointSlots() const
  {
    return m_announced.m_endpoint ? m_announced.m_endpoint->m_slots : 0;
  }
};

} // namespace mulberrysail::core
