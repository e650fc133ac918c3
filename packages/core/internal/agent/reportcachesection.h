#pragma once

#include "core/internal/agent/attempt.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace mulberrysail::core::agent {

/** The last word on an attempt. */
struct CachedReport
{
  AttemptReport m_report;
  bool m_started = false;
  /** When its offer is refused anyway; kNever if the offer was never seen. */
  Instant m_startBy = kNever;
  std::pair<Instant, std::uint64_t> m_expiryKey;
};

/** Final reports, kept for duplicates and reconciles. */
struct ReportCacheSection
{
  std::unordered_map<AttemptKey, CachedReport> m_reports;
  std::map<std::pair<Instant, std::uint64_t>, AttemptKey> m_byExpiry;
  /** Those with an output, the oldest first; may name forgotten ones. */
  std::deque<AttemptKey> m_withOutput;
  std::uint64_t m_outputBytes = 0;
};

} // namespace mulberrysail::core::agent
