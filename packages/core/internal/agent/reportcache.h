#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** What can be said of an attempt that is neither open nor kept. */
enum class UnknownAttempt : std::uint8_t
{
  NeverSeen,
  /** It may be one that was started and forgotten. */
  MayHaveStarted,
  /** It may be one that was refused for good and forgotten. */
  MayBeRefused,
};

/** Keeps final reports within the limits of time and memory. */
class ReportCache
{
public:
  explicit ReportCache(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /**
   * @param aStarted whether the attempt was ever started.
   * @param aStartBy when its offer is refused anyway; kNever if unknown.
   */
  void Store(const AttemptKey& aKey,
             const AttemptReport& aReport,
             bool aStarted,
             Instant aStartBy);

  /** @return the report on @p aKey, or null if it isn't kept. */
  const AttemptReport* Find(const AttemptKey& aKey) const;

  /** @return what the marks say of an attempt that isn't kept. */
  UnknownAttempt Classify(const AttemptKey& aKey) const;

  /** Forgets what is too old. */
  void EvictExpired();

private:
  void EvictNext();
  void DropOldestOutput();
  void EnforceLimits();

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
