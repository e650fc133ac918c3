#pragma once

#include "core/internal/agent/attempt.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core::agent {

/** Highest ids of the attempts whose reports were evicted. Ids of one shard
 * increase, so an id at or below a mark may belong to an evicted report. */
struct EvictionMarks
{
  /** Highest id of a started attempt. */
  AttemptId m_started;
  /** Highest id of an attempt that was refused without being started, and
   * whose offer could still arrive in time when its report was evicted. */
  AttemptId m_refused;
};

/** The last statement of a shard of an entry about its waiting work. */
struct StatedDemand
{
  Demand m_demand;
  Instant m_receivedAt;
};

/** Free capacity that is held for one entry. */
struct CapacityGrant
{
  Resources m_capacity;
  Instant m_until;

  bool IsOpen() const { return m_capacity.m_milliCores > 0; }
};

/** State of one incarnation of an entry. */
struct EntryRecord
{
  ProcessId m_id;
  /** Contained in the last list of entries. */
  bool m_listed = false;
  /** Set when a link to the entry is opened; cleared by a failed send, by an
   * entry list without the entry, or by a newer incarnation. */
  bool m_linked = false;
  /** Latest time, on this agent's clock, at which the entry is assumed to have
   * been alive: the estimated send time of its messages, not their time of
   * arrival; initially the time at which the entry was added. */
  Instant m_lastSeen;
  /** When the entry granted the newest lease of its attempts at this agent, on
   * this agent's clock; absent if its version states no leases. Then m_lastSeen
   * applies. */
  std::optional<Instant> m_leaseGrantedAt;
  /** Shortest time between the sending and the arrival of a message, including
   * the offset between the two clocks; absent until a message with a send time
   * has arrived. */
  std::optional<Duration> m_minTransit;
  /** When m_minTransit was last updated. */
  Instant m_minTransitAt;
  Instant m_lastSent;
  /** When the subscription of each shard to free capacity ends. */
  std::map<std::uint8_t, Instant> m_subscribedUntil;
  /** The earliest Offer::m_dispatchTime of the entry's tasks that were refused
   * for lack of capacity since the entry was last notified of free capacity. */
  std::optional<Instant> m_earliestRefused;
  /** By shard. */
  std::map<std::uint8_t, StatedDemand> m_demands;
  CapacityGrant m_grant;
  /** Whether the entry has not been notified of its grant. */
  bool m_grantReportDue = false;
  /** Set when a grant expires unused; the entry gets no other one before it
   * states its demand again, because it may be gone or paused. */
  bool m_grantUnused = false;
  bool m_announceDue = false;
  /** WorkerCrash::m_number of the last crash that was sent to the entry. */
  std::uint64_t m_lastCrashSent = 0;
  /** When an Announce was last scheduled because the entry's list of drained
   * zones was out of date. */
  Instant m_drainsAnnouncedAt = Instant(std::chrono::hours(-1));
  /** Set when a send to the entry failed; cleared by a message from the entry,
   * an opened link or the next heartbeat. */
  bool m_unreachable = false;
  /** Highest OfferBatch::m_sequence received from the entry. */
  std::uint64_t m_lastOfferSequence = 0;
  /** Set when a load report must be sent: after a Reconcile, possibly without
   * attempts, or after an EntryHello from an entry with open attempts. */
  bool m_loadRequested = false;
  std::uint32_t m_openAttempts = 0;
  /** The last load report sent to the entry. */
  LoadReport m_lastLoad;
  std::vector<AttemptReport> m_reports;
  /** Keyed by the shard bits of the attempt id. */
  std::map<std::uint64_t, EvictionMarks> m_evictionMarks;

  Instant LeaseGrantedAt() const
  {
    return m_leaseGrantedAt.value_or(m_lastSeen);
  }

  /** @return whether a shard of the entry waits for free capacity. */
  bool IsSubscribed(Instant aNow) const
  {
    return std::any_of(
      m_subscribedUntil.begin(),
      m_subscribedUntil.end(),
      [&](const std::pair<const std::uint8_t, Instant>& aShard) {
        return aShard.second > aNow;
      });
  }
};

/** All known entries, in the order in which they became known. */
struct EntrySection
{
  std::map<EntryIndex, EntryRecord> m_records;
  std::unordered_map<ProcessId, EntryIndex> m_byId;
  EntryIndex m_nextIndex = 1;
  /** When subscribers were last notified of free capacity. */
  Instant m_capacityReportedAt = Instant(std::chrono::hours(-1));
};

} // namespace mulberrysail::core::agent
