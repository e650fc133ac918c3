#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <optional>

/**
 * When a run lease ends, on the clocks of the worker and of the agent.
 *
 * The worker's deadline is the agent's lowest estimate of the worker's clock,
 * plus the lease. So the lease ends no later than LatestRunEnd() states,
 * however old the clock reading is and however late the worker receives the
 * deadline.
 */
namespace mulberrysail::core::agent {

/** One second of a worker's clock lasts at most this much longer than one
 * second of the agent's clock, as a fraction. */
inline constexpr double kMaxClockDrift = 0.03;
/** Maximum time a worker takes to end a run after its lease expires or it is
 * stopped. */
inline constexpr Duration kMaxEndDelay = std::chrono::milliseconds(50);

/** @return the latest time at which a run ends whose lease was last started or
 * renewed for @p aLease at @p aDecidedAt. */
Instant
LatestRunEnd(Instant aDecidedAt, Duration aLease);

/** How the agent has received a reading of a worker's clock. */
enum class ClockSource : std::uint8_t
{
  /** In an answer to a call. */
  Answer,
  /** In an announcement, which may have been delayed for any time. */
  Announcement,
};

/** What the latest reading of a worker's clock tells about that clock. Valid
 * for one start of the worker, as the clock begins anew with the next one. */
class WorkerClockEstimate
{
public:
  /** Records a reading that arrived at @p aNow. */
  void Record(WorkerInstant aReading, Instant aNow, ClockSource aSource);

  /** @return a time that the worker's clock has reached at @p aAt; absent if no
   * reading is known. */
  std::optional<WorkerInstant> EarliestAt(Instant aAt) const;

  /** @return whether the estimate is good enough for a lease of nearly the
   * wanted length. If not, the worker has to be observed first. */
  bool IsPrecise(Instant aNow) const;

  /** @return whether the latest reading contradicts the one before it. */
  bool IsDoubtful() const { return m_isDoubtful; }

  /** @return whether the worker has to be observed for another reading. */
  bool NeedsReading(Instant aNow) const;

  /** @return when NeedsReading() becomes true if no reading arrives before. */
  Instant RefreshDueAt() const;

private:
  struct Reading
  {
    WorkerInstant m_clock;
    Instant m_receivedAt;
  };
  std::optional<Reading> m_reading;
  /** Set by a reading that was delayed, or that shows that the worker's clock
   * stood still; cleared by an answer that isn't. */
  bool m_isDoubtful = false;
};

} // namespace mulberrysail::core::agent
