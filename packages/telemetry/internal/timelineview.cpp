#include "telemetry/timelineview.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace mulberrysail::telemetry {

namespace {

constexpr unsigned kCounterBits = 16;
constexpr std::uint64_t kCounterMask = 0xFFFF;
constexpr std::uint64_t kMsPerSecond = 1000;

bool
Before(const TimelineEvent& aLeft, const TimelineEvent& aRight)
{
  return std::tie(aLeft.m_stamp, aLeft.m_process, aLeft.m_incarnation) <
         std::tie(aRight.m_stamp, aRight.m_process, aRight.m_incarnation);
}

bool
SameEvent(const TimelineEvent& aLeft, const TimelineEvent& aRight)
{
  return !Before(aLeft, aRight) && !Before(aRight, aLeft);
}

/** Writes the time as 2026-01-31 09:30:00.125+7; the number after the plus sign
 * distinguishes events of one millisecond. */
void
WriteTime(std::ostream& aOut, std::uint64_t aStamp)
{
  const std::uint64_t wallMs = aStamp >> kCounterBits;
  const std::time_t seconds = static_cast<std::time_t>(wallMs / kMsPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  aOut << std::put_time(&utc, "%Y-%m-%d %H:%M:%S") << '.' << std::setw(3)
       << std::setfill('0') << wallMs % kMsPerSecond << '+'
       << (aStamp & kCounterMask);
}

} // namespace

std::vector<TimelineEvent>
MergeTimelines(std::span<const std::vector<TimelineEvent>> aTimelines)
{
  std::vector<TimelineEvent> merged;
  for (const std::vector<TimelineEvent>& timeline : aTimelines) {
    merged.insert(merged.end(), timeline.begin(), timeline.end());
  }
  std::stable_sort(merged.begin(), merged.end(), Before);
  merged.erase(std::unique(merged.begin(), merged.end(), SameEvent),
               merged.end());
  return merged;
}

std::string
TimelineAsText(std::span<const TimelineEvent> aEvents)
{
  std::ostringstream text;
  for (const TimelineEvent& event : aEvents) {
    WriteTime(text, event.m_stamp);
    text << ' ' << event.m_process << '/' << event.m_incarnation << ' '
         << static_cast<int>(event.m_code) << ' '
         << core::EventName(event.m_code);
    if (event.m_subject != 0) {
      text << ' ' << event.m_subject;
    }
    if (!event.m_id.empty()) {
      text << " id=" << event.m_id;
    }
    if (!event.m_detail.empty()) {
      text << ' ' << event.m_detail;
    }
    text << '\n';
  }
  return text.str();
}

} // namespace mulberrysail::telemetry
