#pragma once

#include "core/types/commands.h"
#include "core/types/messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace mulberrysail::core::agent {

/** Number of an entry in the agent's own table; never used again. */
using EntryIndex = std::uint32_t;

/** What makes an attempt known: the entry that made it, and its id there. */
struct AttemptKey
{
  EntryIndex m_entry = 0;
  AttemptId m_attempt;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const AttemptKey&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** An attempt that waits or runs here. */
struct Attempt
{
  AttemptKey m_key;
  /** Its payload is gone once a request was started. */
  Offer m_offer;
  /** Rises with each attempt taken in; orders what is otherwise equal. */
  std::uint64_t m_sequence = 0;
  Instant m_receivedAt;
  Instant m_startedAt;
  bool m_running = false;
  bool m_stopRequested = false;
  /** Set once a run of it could not be sent; the next time is the last. */
  bool m_requeued = false;
  RunId m_run;
  /** The worker that runs it, or the one to avoid while it is queued. */
  std::string m_worker;
  /** How the worker knows it. */
  RunName m_name;
  /** Leased workers: when it was known to have been taken. */
  std::optional<Instant> m_acceptedAt;
  /** Leased workers: when it was known that it has ended or never starts. */
  std::optional<Instant> m_stopConfirmedAt;
  /** Leased workers: when its last stop was sent. */
  std::optional<Instant> m_stopSentAt;
  /** What is set aside for it on the worker. */
  Resources m_reserved;
  /** The most that the worker has reported of it. */
  Resources m_peakUsage;
};

} // namespace mulberrysail::core::agent

template<>
struct std::hash<mulberrysail::core::agent::AttemptKey>
{
  std::size_t operator()(
    const mulberrysail::core::agent::AttemptKey& aKey) const noexcept
  {
    return std::hash<std::uint64_t>{}(aKey.m_attempt.m_value) ^
           (aKey.m_entry * 0x9E3779B97F4A7C15ULL);
  }
};
