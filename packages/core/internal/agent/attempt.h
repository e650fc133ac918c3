#pragma once

#include "core/types/commands.h"
#include "core/types/messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace mulberrysail::core::agent {

/** Index of an entry in the agent's own table; never reused. */
using EntryIndex = std::uint32_t;

/** Identifies an attempt: the entry that made it and its id at that entry. */
struct AttemptKey
{
  EntryIndex m_entry = 0;
  AttemptId m_attempt;

  // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
  auto operator<=>(const AttemptKey&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** An attempt that is queued or running at this agent. */
struct Attempt
{
  AttemptKey m_key;
  /** The payload of a request is moved out when the request is started. */
  Offer m_offer;
  /** Increases with each accepted attempt; breaks ties in the queue order. */
  std::uint64_t m_sequence = 0;
  Instant m_receivedAt;
  /** OfferBatch::m_leaseGrantedAt. */
  std::optional<Instant> m_leaseGrantedAt;
  Instant m_startedAt;
  bool m_running = false;
  bool m_stopRequested = false;
  /** Set when the attempt was queued again because its run could not be sent;
   * after a second send failure the attempt is refused. */
  bool m_requeued = false;
  RunId m_run;
  /** The worker that runs the attempt; while the attempt is queued, the worker
   * to avoid. */
  std::string m_worker;
  /** Whether the worker was warming up when the attempt started. */
  bool m_startedWarmingUp = false;
  /** Identifies the run to the worker: task name and start number. */
  RunName m_runName;
  /** How often the start of the run was sent to the worker. */
  std::uint32_t m_startsSent = 0;
  /** Workers with run leases only: when the start was last decided on. */
  Instant m_startSentAt;
  /** Workers with run leases only: whether the worker that has the run is known
   * to have the clock by which the leases are granted. If not, the worker may
   * have started again, and grant its longest lease. */
  bool m_leaseConfirmed = false;
  /** Workers with run leases only: when the worker confirmed the start, or when
   * the first observation that listed the run was sent. */
  std::optional<Instant> m_acceptedAt;
  /** Workers with run leases only: when the worker confirmed that the run has
   * ended or will never start. */
  std::optional<Instant> m_stopConfirmedAt;
  /** Workers with run leases only: when the last StopRun command for the run
   * was sent. */
  std::optional<Instant> m_stopSentAt;
  /** Capacity reserved for the run on the worker. */
  Resources m_reserved;
  /** Highest usage that the worker has reported for the run. */
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
