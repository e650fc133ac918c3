#include "core/internal/agent/reportcache.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Half of the memory limit is for reports, the other half for caller keys. */
constexpr std::uint64_t kMemoryDivisor = 2;
/** Memory of one cached report without its output. */
constexpr std::uint64_t kBytesPerReport = 256;

/** Entries put the shard above the number of the attempt: ids with the same
 * bits from bit 48 upwards increase. */
constexpr unsigned kShardShift = 48;

std::uint64_t
ShardPrefixOf(AttemptId aAttempt)
{
  return aAttempt.m_value >> kShardShift;
}

} // namespace

void
ReportCache::Store(const AttemptKey& aKey,
                   const AttemptReport& aReport,
                   bool aStarted,
                   Instant aStartBy)
{
  ReportCacheSection& section = m_board.m_reportCache;
  const auto [place, isNew] = section.m_reports.try_emplace(aKey);
  if (!isNew) {
    return;
  }
  CachedReport& cached = place->second;
  cached.m_report = aReport;
  cached.m_started = aStarted;
  cached.m_startBy = aStartBy;
  Instant expiresAt = m_board.m_now + m_board.m_policy.m_reportRetention;
  if (aStartBy != kNever) {
    expiresAt = std::max(expiresAt, aStartBy + Duration(1));
  }
  cached.m_expiryKey = { expiresAt, m_board.m_attempts.m_nextUniqueNumber++ };
  section.m_byExpiry.emplace(cached.m_expiryKey, aKey);
  if (!aReport.m_output.empty()) {
    section.m_outputBytes += aReport.m_output.size();
    section.m_withOutput.push_back(aKey);
  }
  EnforceLimits();
}

const AttemptReport*
ReportCache::Find(const AttemptKey& aKey) const
{
  const auto place = m_board.m_reportCache.m_reports.find(aKey);
  return place == m_board.m_reportCache.m_reports.end()
           ? nullptr
           : &place->second.m_report;
}

UnknownAttempt
ReportCache::Classify(const AttemptKey& aKey) const
{
  const auto entry = m_board.m_entries.m_records.find(aKey.m_entry);
  if (entry == m_board.m_entries.m_records.end()) {
    return UnknownAttempt::NeverSeen;
  }
  const auto marks =
    entry->second.m_evictionMarks.find(ShardPrefixOf(aKey.m_attempt));
  if (marks == entry->second.m_evictionMarks.end()) {
    return UnknownAttempt::NeverSeen;
  }
  if (aKey.m_attempt <= marks->second.m_started) {
    return UnknownAttempt::MayHaveStarted;
  }
  return aKey.m_attempt <= marks->second.m_refused
           ? UnknownAttempt::MayHaveBeenRefused
           : UnknownAttempt::NeverSeen;
}

void
ReportCache::EvictExpired()
{
  std::map<std::pair<Instant, std::uint64_t>, AttemptKey>& byExpiry =
    m_board.m_reportCache.m_byExpiry;
  while (!byExpiry.empty() && byExpiry.begin()->first.first <= m_board.m_now) {
    EvictNext();
  }
}

void
ReportCache::EvictNext()
{
  ReportCacheSection& section = m_board.m_reportCache;
  const AttemptKey key = section.m_byExpiry.begin()->second;
  section.m_byExpiry.erase(section.m_byExpiry.begin());
  const auto place = section.m_reports.find(key);
  const CachedReport& cached = place->second;
  section.m_outputBytes -= cached.m_report.m_output.size();
  const auto entry = m_board.m_entries.m_records.find(key.m_entry);
  if (entry != m_board.m_entries.m_records.end()) {
    if (cached.m_started) {
      AttemptId& mark =
        entry->second.m_evictionMarks[ShardPrefixOf(key.m_attempt)].m_started;
      mark = std::max(mark, key.m_attempt);
    } else if (cached.m_startBy > m_board.m_now) {
      AttemptId& mark =
        entry->second.m_evictionMarks[ShardPrefixOf(key.m_attempt)].m_refused;
      mark = std::max(mark, key.m_attempt);
    }
  }
  section.m_reports.erase(place);
}

void
ReportCache::DropOldestOutput()
{
  ReportCacheSection& section = m_board.m_reportCache;
  const AttemptKey key = section.m_withOutput.front();
  section.m_withOutput.pop_front();
  const auto place = section.m_reports.find(key);
  if (place == section.m_reports.end()) {
    return;
  }
  AttemptReport& report = place->second.m_report;
  section.m_outputBytes -= report.m_output.size();
  report.m_output = std::string();
  // A report without its output can't be sent as completed.
  if (report.m_fate == AttemptFate::Completed) {
    report.m_fate = AttemptFate::Lost;
    report.m_kind = ErrorKind::RunLost;
  }
}

void
ReportCache::EnforceLimits()
{
  ReportCacheSection& section = m_board.m_reportCache;
  const std::uint64_t limit =
    m_board.m_policy.m_maxRetainedBytes / kMemoryDivisor;
  while (section.m_outputBytes > limit) {
    DropOldestOutput();
  }
  const std::uint64_t maxReports =
    std::max<std::uint64_t>(1, limit / kBytesPerReport);
  while (section.m_reports.size() > maxReports) {
    EvictNext();
  }
  while (section.m_withOutput.size() > maxReports) {
    DropOldestOutput();
  }
}

} // namespace mulberrysail::core::agent
