#pragma once

#include "core/internal/agent/attempt.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace mulberrysail::core::agent {

/** The final report of an attempt. */
struct CachedReport
{
  AttemptReport m_report;
  bool m_started = false;
  /** Time after which the offer is refused in any case; kNever if the offer
   * was never received. */
  Instant m_startBy = kNever;
  /** Time of expiry and a unique number; key in
   * ReportCacheSection::m_byExpiry. */
  std::pair<Instant, std::uint64_t> m_expiryKey;
};

/** Final reports, retained to answer duplicate offers and Reconcile messages.
 */
struct ReportCacheSection
{
  std::unordered_map<AttemptKey, CachedReport> m_reports;
  std::map<std::pair<Instant, std::uint64_t>, AttemptKey> m_byExpiry;
  /** Reports with an output, oldest first; may contain evicted reports. */
  std::deque<AttemptKey> m_withOutput;
  std::uint64_t m_outputBytes = 0;
};

} // namespace mulberrysail::core::agent
