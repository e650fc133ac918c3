#pragma once

#include "core/internal/agent/attempt.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core::agent {

/** A caller key, which is unique within its service. */
struct KeyName
{
  std::string m_service;
  std::string m_key;

  bool operator==(const KeyName&) const = default;
};

/** A fence query whose entry is sent the outcome when the holder ends. */
struct PendingFenceQuery
{
  EntryIndex m_entry = 0;
  FenceId m_fence;
  CallerKey m_key;
  Duration m_retainFor{};
};

/** The attempt that holds a key. */
struct KeyHolder
{
  AttemptKey m_attempt;
  AttemptFate m_fate = AttemptFate::Queued;
  ErrorKind m_kind = ErrorKind::None;
  std::string m_output;
};

struct KeyRecord
{
  /** Caller key of the latest fence; offers whose caller key yields to it are
   * refused until m_fenceUntil. */
  std::optional<CallerKey> m_fence;
  Instant m_fenceUntil;
  std::optional<KeyHolder> m_holder;
  std::vector<PendingFenceQuery> m_pendingQueries;
  /** When the holder ended. */
  Instant m_endedAt;
  /** Unique number; the pair (m_endedAt, m_endedSequence) is the index of this
   * record in KeySection::m_evictable. */
  std::uint64_t m_endedSequence = 0;
  /** Bytes accounted against the memory limit. */
  std::uint64_t m_bytes = 0;
  /** Time of expiry and a unique number; index of this record in
   * KeySection::m_byExpiry. */
  std::pair<Instant, std::uint64_t> m_expiryKey;
};

} // namespace mulberrysail::core::agent

template<>
struct std::hash<mulberrysail::core::agent::KeyName>
{
  std::size_t operator()(
    const mulberrysail::core::agent::KeyName& aName) const noexcept
  {
    return std::hash<std::string>{}(aName.m_key) ^
           (std::hash<std::string>{}(aName.m_service) * 0x9E3779B97F4A7C15ULL);
  }
};

namespace mulberrysail::core::agent {

/** Caller keys of accepted offers and fences. */
struct KeySection
{
  std::unordered_map<KeyName, KeyRecord> m_records;
  /** Keys without an open attempt, by time of expiry. */
  std::map<std::pair<Instant, std::uint64_t>, KeyName> m_byExpiry;
  /** Keys whose holder has ended, by the time of its end. */
  std::map<std::pair<Instant, std::uint64_t>, KeyName> m_evictable;
  std::uint64_t m_bytes = 0;
  /** Holders that ended before this time may have been evicted to enforce the
   * memory limit; the epoch if that has never happened. */
  Instant m_completeSince;
};

} // namespace mulberrysail::core::agent
