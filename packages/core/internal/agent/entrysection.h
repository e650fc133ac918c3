#pragma once

#include "core/internal/agent/attempt.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core::agent {

/** Attempts that were forgotten, by the highest id: ids of one shard rise, so
 * an id at or below a mark may be one of those. */
struct EvictionMarks
{
  /** Highest id that had been started. */
  AttemptId m_started;
  /** Highest id that had been refused without its offer being known. */
  AttemptId m_refused;
};

/** What the agent knows of one life of one entry. */
struct EntryRecord
{
  ProcessId m_id;
  /** Named by the last list of entries. */
  bool m_listed = false;
  /** A link to it was opened, and nothing has failed to be sent since. */
  bool m_linked = false;
  /** When it was alive for certain: the time of sending of what came from it
   * last, not that of its arrival. */
  Instant m_lastSeen;
  /** Least time from a sending to its arrival, with the difference of the two
   * clocks in it; absent while nothing told when it was sent. */
  std::optional<Duration> m_minTransit;
  Instant m_minTransitAt;
  Instant m_lastSent;
  Instant m_subscribedUntil;
  bool m_announceDue = false;
  /** Set while the transport doesn't take messages to it. */
  bool m_unreachable = false;
  /** The highest number of an offer that came from it. */
  std::uint64_t m_offersSeen = 0;
  /** It has asked what became of attempts, or only for the load. */
  bool m_loadRequested = false;
  std::uint32_t m_openAttempts = 0;
  /** The load in the last message that carried one. */
  LoadReport m_lastLoad;
  std::vector<AttemptReport> m_reports;
  /** By the part of the attempt id that names the shard. */
  std::map<std::uint64_t, EvictionMarks> m_evictionMarks;
};

/** All entries, in the order in which they were met. */
struct EntrySection
{
  std::map<EntryIndex, EntryRecord> m_records;
  std::unordered_map<ProcessId, EntryIndex> m_byId;
  EntryIndex m_nextIndex = 1;
};

} // namespace mulberrysail::core::agent
