#include "telemetry/internal/eventlog.h"

#include "telemetry/eventlevel.h"

#include <glog/logging.h>

#include <chrono>
#include <iomanip>
#include <sstream>
#include <utility>

namespace mulberrysail::telemetry {

namespace {

/** Longer details are cut, so that the ring stays small. */
constexpr std::size_t kMaxDetailBytes = 1024;

std::uint64_t
WallMs()
{
  const std::chrono::system_clock::duration now =
    std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/** @return the text on one line, without control characters. */
std::string
OneLine(std::string aText)
{
  for (char& character : aText) {
    if (static_cast<unsigned char>(character) < ' ') {
      character = ' ';
    }
  }
  return aText;
}

} // namespace

std::string
LogLine(core::EventCode aCode,
        std::uint64_t aSubject,
        const std::string& aDetail)
{
  std::ostringstream line;
  line << "event=" << static_cast<int>(aCode)
       << " name=" << core::EventName(aCode) << " subject=" << aSubject
       << " detail=" << std::quoted(OneLine(aDetail));
  return line.str();
}

EventLog::EventLog(core::ProcessId aSelf, std::size_t aCapacity)
  : m_self(std::move(aSelf))
  , m_ring(aCapacity)
{
}

void
EventLog::Record(core::EventCode aCode,
                 std::uint64_t aSubject,
                 std::string aDetail)
{
  if (aDetail.size() > kMaxDetailBytes) {
    aDetail.resize(kMaxDetailBytes);
  }
  switch (LevelOf(aCode)) {
    case EventLevel::Verbose:
      VLOG(1) << LogLine(aCode, aSubject, aDetail);
      break;
    case EventLevel::Info:
      LOG(INFO) << LogLine(aCode, aSubject, aDetail);
      break;
    case EventLevel::Warning:
      LOG(WARNING) << LogLine(aCode, aSubject, aDetail);
      break;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ring.push_back(
    { m_clock.Next(WallMs()), aCode, aSubject, std::move(aDetail) });
}

std::uint64_t
EventLog::Stamp()
{
  return m_clock.Next(WallMs());
}

void
EventLog::Merge(std::uint64_t aStamp)
{
  m_clock.Merge(aStamp, WallMs());
}

std::vector<TimelineEvent>
EventLog::Events(std::uint64_t aSince) const
{
  std::vector<TimelineEvent> events;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const Entry& entry : m_ring) {
    if (entry.m_stamp >= aSince) {
      events.push_back({ entry.m_stamp,
                         m_self.m_name,
                         m_self.m_incarnation.m_value,
                         entry.m_code,
                         entry.m_subject,
                         entry.m_detail });
    }
  }
  return events;
}

std::unique_ptr<IEventLog>
MakeEventLog(core::ProcessId aSelf, std::size_t aCapacity)
{
  return std::make_unique<EventLog>(std::move(aSelf), aCapacity);
}

} // namespace mulberrysail::telemetry
