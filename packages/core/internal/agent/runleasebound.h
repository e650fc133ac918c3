#pragma once

#include "core/types/time.h"

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

/** What the latest reading of a worker's clock tells about that clock. Valid
 * for one start of the worker, as the clock begins anew with the next one. */
class WorkerClockEstimate
{
public:
  /** Records a reading of an announcement that arrived at @p aNow. */
  void RecordAnnouncement(WorkerInstant aReading, Instant aNow);

  /** Records the reading of an answer that arrived at @p aNow to a call that
   * was sent at @p aSentAt.
   * @return whether it fits: the clock has gained at least as much as the
   * readings before it promise. If not, it stood still or is another one. */
  bool RecordAnswer(WorkerInstant aReading, Instant aSentAt, Instant aNow);

  /** @return a time that the worker's clock has reached at @p aAt, which may be
   * before the latest reading; absent if no reading is known. */
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
   * stood still or is another one; cleared by an answer that fits. */
  bool m_isDoubtful = false;
};

} // namespace mulberrysail::core::agent
