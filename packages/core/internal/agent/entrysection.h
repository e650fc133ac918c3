#pragma once

#include "core/internal/agent/attempt.h"

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

/** State of one incarnation of an entry. */
struct EntryRecord
{
  ProcessId m_id;
  /** Contained in the last list of entries. */
  bool m_listed = false;
  /** A link to the entry was opened, and no send has failed since. */
  bool m_linked = false;
  /** Latest time at which the entry was certainly alive: the time at which its
   * last message was sent, not the time of arrival. */
  Instant m_lastSeen;
  /** Shortest time between the sending and the arrival of a message, including
   * the offset between the two clocks; absent until a message with a send time
   * has arrived. */
  std::optional<Duration> m_minTransit;
  /** When m_minTransit was last updated. */
  Instant m_minTransitAt;
  Instant m_lastSent;
  Instant m_subscribedUntil;
  bool m_announceDue = false;
  /** Set while the transport doesn't accept messages to the entry. */
  bool m_unreachable = false;
  /** Highest offer number received from the entry. */
  std::uint64_t m_offersSeen = 0;
  /** The entry has sent a Reconcile, possibly without attempts, or an
   * EntryHello while it had open attempts; a load report is due. */
  bool m_loadRequested = false;
  std::uint32_t m_openAttempts = 0;
  /** The last load report sent to the entry. */
  LoadReport m_lastLoad;
  std::vector<AttemptReport> m_reports;
  /** Keyed by the shard bits of the attempt id. */
  std::map<std::uint64_t, EvictionMarks> m_evictionMarks;
};

/** All known entries, in the order in which they became known. */
struct EntrySection
{
  std::map<EntryIndex, EntryRecord> m_records;
  std::unordered_map<ProcessId, EntryIndex> m_byId;
  EntryIndex m_nextIndex = 1;
};

} // namespace mulberrysail::core::agent
