#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** What is known about an attempt that is neither open nor cached. */
enum class UnknownAttempt : std::uint8_t
{
  NeverSeen,
  /** The attempt may have been started and its report evicted. */
  MayHaveStarted,
  /** The attempt may have been refused without being started and its report
   * evicted. */
  MayHaveBeenRefused,
};

/** Caches final reports within the limits of retention time and memory. */
class ReportCache
{
public:
  explicit ReportCache(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /**
   * Does nothing if @p aKey already has a report.
   *
   * @param aStarted whether the attempt was ever started.
   * @param aStartBy time after which the offer is refused in any case; kNever
   * if the offer is unknown.
   */
  void Store(const AttemptKey& aKey,
             const AttemptReport& aReport,
             bool aStarted,
             Instant aStartBy);

  /** @return the report of @p aKey, or null if it isn't cached. */
  const AttemptReport* Find(const AttemptKey& aKey) const;

  /** @return what the eviction marks tell about an attempt without a cached
   * report. */
  UnknownAttempt Classify(const AttemptKey& aKey) const;

  /** Evicts the reports whose retention period is over. */
  void EvictExpired();

private:
  /** Evicts the report that expires first and updates the eviction marks. */
  void EvictNext();
  void DropOldestOutput();
  void EnforceLimits();

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
