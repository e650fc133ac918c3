#pragma once

#include "core/internal/agent/attempt.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core::agent {

/** Service and the caller's key. */
struct KeyName
{
  std::string m_service;
  std::string m_key;

  bool operator==(const KeyName&) const = default;
};

/** An entry that waits for the outcome of a key. */
struct FenceRequester
{
  EntryIndex m_entry = 0;
  FenceId m_fence;
  CallerKey m_key;
  Duration m_rememberFor{};
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
  /** Claims that yield to it are refused. */
  std::optional<CallerKey> m_fence;
  Instant m_fenceUntil;
  std::optional<KeyHolder> m_holder;
  std::vector<FenceRequester> m_requesters;
  /** When its holder ended. */
  Instant m_endedAt;
  /** Place in KeySection::m_evictable. */
  std::uint64_t m_endedSequence = 0;
  /** What it counts against the limit of memory. */
  std::uint64_t m_bytes = 0;
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

/** Caller keys that were seen or fenced. */
struct KeySection
{
  std::unordered_map<KeyName, KeyRecord> m_records;
  /** Those without an open attempt, by when they are forgotten. */
  std::map<std::pair<Instant, std::uint64_t>, KeyName> m_byExpiry;
  /** Those whose holder has ended, by when it did. */
  std::map<std::pair<Instant, std::uint64_t>, KeyName> m_evictable;
  std::uint64_t m_bytes = 0;
  /** What had ended by then may have been forgotten. */
  Instant m_completeSince;
};

} // namespace mulberrysail::core::agent
