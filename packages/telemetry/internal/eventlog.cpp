#include "telemetry/internal/eventlog.h"

#include "telemetry/eventlevel.h"

#include <chrono>
#include <limits>
#include <utility>

namespace mulberrysail::telemetry {

namespace {

constexpr std::uint64_t kMsPerSecond = 1000;
constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

std::uint64_t
WallMs()
{
  const std::chrono::system_clock::duration now =
    std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

std::string
LogLine(std::string_view aOrigin, const core::RecordEvent& aEvent)
{
  core::EventDetail line;
  line.Add("event", core::EventName(aEvent.m_code))
    .Add("code", static_cast<int>(aEvent.m_code));
  std::string text = line.Text();
  text.append(" ").append(aOrigin);
  core::EventDetail optionalFields;
  if (!aEvent.m_id.empty()) {
    optionalFields.Add("id", aEvent.m_id);
  }
  if (aEvent.m_subject != 0) {
    optionalFields.Add("subject", aEvent.m_subject);
  }
  optionalFields.Add(aEvent.m_detail);
  if (!optionalFields.Text().empty()) {
    text.append(" ").append(optionalFields.Text());
  }
  return text;
}

EventLog::EventLog(core::ProcessId aSelf,
                   EventLogLimits aLimits,
                   ILogOutput* aOutput)
  : m_self(std::move(aSelf))
  , m_origin(core::DescribeProcess("process", m_self).Text())
  , m_output(aOutput)
  , m_rateLimiter(aLimits.m_linesPerSecond)
  , m_ring(aLimits.m_events)
{
}

EventLog::~EventLog()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ReportSuppressed(kNever);
}

void
EventLog::Record(core::RecordEvent aEvent)
{
  const std::uint64_t now = WallMs();
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_counts[aEvent.m_code];
  Write(aEvent, now / kMsPerSecond);
  m_ring.push_back({ m_clock.Next(now), std::move(aEvent) });
}

void
EventLog::Write(const core::RecordEvent& aEvent, std::uint64_t aSecond)
{
  if (m_output == nullptr || !m_output->IsEnabled(LevelOf(aEvent.m_code))) {
    return;
  }
  ReportSuppressed(aSecond);
  if (m_rateLimiter.TryAcquire(aEvent.m_code, aSecond)) {
    WriteLine(aEvent);
  } else {
    ++m_suppressed;
  }
}

void
EventLog::WriteLine(const core::RecordEvent& aEvent)
{
  m_output->Write(LevelOf(aEvent.m_code), LogLine(m_origin, aEvent));
}

void
EventLog::ReportSuppressed(std::uint64_t aSecond)
{
  for (const SuppressedLines& kind :
       m_rateLimiter.TakeSuppressedBefore(aSecond)) {
    core::EventDetail detail;
    detail.Add("kind", core::EventName(kind.m_code))
      .Add("left_out", kind.m_lines);
    WriteLine({ core::EventCode::LogLimited, 0, std::move(detail) });
  }
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
                         entry.m_event.m_code,
                         entry.m_event.m_subject,
                         entry.m_event.m_detail.Text(),
                         entry.m_event.m_id });
    }
  }
  return events;
}

LogCounters
EventLog::Log() const
{
  LogCounters counters =
    m_output == nullptr ? LogCounters{} : m_output->Counters();
  const std::lock_guard<std::mutex> lock(m_mutex);
  counters.m_suppressed = m_suppressed;
  return counters;
}

EventCounts
EventLog::Counts() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_counts;
}

std::unique_ptr<IEventLog>
MakeEventLog(core::ProcessId aSelf, EventLogLimits aLimits, ILogOutput* aOutput)
{
  return std::make_unique<EventLog>(std::move(aSelf), aLimits, aOutput);
}

} // namespace mulberrysail::telemetry
