#pragma once

#include "core/types/ids.h"
#include "telemetry/ieventlog.h"
#include "telemetry/internal/hybridclock.h"
#include "telemetry/internal/logratelimiter.h"

#include <boost/circular_buffer.hpp>

#include <mutex>

namespace mulberrysail::telemetry {

/** Writes rate-limited log lines and keeps the newest events. */
class EventLog : public IEventLog
{
public:
  EventLog(core::ProcessId aSelf, EventLogLimits aLimits, ILogOutput* aOutput);
  ~EventLog() override;
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  using IEventLog::Record;
  void Record(core::RecordEvent aEvent) override;
  std::uint64_t Stamp() override;
  void Merge(std::uint64_t aStamp) override;
  std::vector<TimelineEvent> Events(std::uint64_t aSince) const override;
  LogCounters Log() const override;
  EventCounts Counts() const override;

private:
  /** An event without the fields that are the same for the whole process. */
  struct Entry
  {
    std::uint64_t m_stamp = 0;
    core::RecordEvent m_event;
  };

  void Write(const core::RecordEvent& aEvent, std::uint64_t aSecond);
  void WriteLine(const core::RecordEvent& aEvent);
  void ReportSuppressed(std::uint64_t aSecond);

  const core::ProcessId m_self;
  /** The process fields that are part of each line. */
  const std::string m_origin;
  ILogOutput* const m_output;
  HybridClock m_clock;
  mutable std::mutex m_mutex;
  LogRateLimiter m_rateLimiter;
  std::uint64_t m_suppressed = 0;
  EventCounts m_counts;
  boost::circular_buffer<Entry> m_ring;
};

/**
 * @param aOrigin the process fields that are part of each line.
 * @return the log line of the event, without time and level:
 * event=attempt-refused code=301 process=agent-1 incarnation=5 subject=7
 * cause=queue-full
 */
std::string
LogLine(std::string_view aOrigin, const core::RecordEvent& aEvent);

} // namespace mulberrysail::telemetry
