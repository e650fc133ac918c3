#pragma once

#include "core/types/commands.h"
#include "core/types/ids.h"
#include "telemetry/logoutput.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::telemetry {

/** One event of the timeline. */
struct TimelineEvent
{
  /** Hybrid logical time: milliseconds of wall time in the upper 48 bits, a
   * counter in the lower 16. Orders the events of all processes. */
  std::uint64_t m_stamp = 0;
  std::string m_process;
  std::uint64_t m_incarnation = 0;
  core::EventCode m_code{};
  /** Id of the submission, attempt or run; zero for an event about none. */
  std::uint64_t m_subject = 0;
  std::string m_detail;
  /** The name that the caller gave to the work; empty if it gave none. */
  std::string m_id = {};
};

/** Number of events of each code. */
using EventCounts = std::map<core::EventCode, std::uint64_t>;

/** Records the events of one process: writes one log line for each and keeps
 * the newest in a bounded ring buffer. Thread-safe. */
class IEventLog
{
public:
  virtual ~IEventLog() = default;

  virtual void Record(core::RecordEvent aEvent) = 0;

  /** Records an event that concerns no submission, attempt or run. */
  void Record(core::EventCode aCode, core::EventDetail aDetail)
  {
    Record(core::RecordEvent{ aCode, 0, std::move(aDetail) });
  }

  /** Advances the clock. @return the hybrid logical time of an outgoing
   * message. */
  virtual std::uint64_t Stamp() = 0;

  /** Advances the clock to the time of a received message. */
  virtual void Merge(std::uint64_t aStamp) = 0;

  /** @return the events in the ring stamped @p aSince or later, oldest first.
   */
  virtual std::vector<TimelineEvent> Events(std::uint64_t aSince) const = 0;

  /** @return how many log lines were written, suppressed and dropped. */
  virtual LogCounters Log() const = 0;

  /** @return how often each event was recorded; without events that never were.
   */
  virtual EventCounts Counts() const = 0;
};

/** Limits on the events kept and the lines written by an event log. */
struct EventLogLimits
{
  /** Capacity of the ring; the oldest events are evicted first. */
  std::size_t m_events = 0;
  /** Log lines for each event code per second; zero for no limit. */
  std::uint32_t m_linesPerSecond = 0;
};

/**
 * @param aSelf the process whose events are recorded.
 * @param aOutput receives the lines; null writes none. Must outlive the log.
 */
std::unique_ptr<IEventLog>
MakeEventLog(core::ProcessId aSelf,
             EventLogLimits aLimits,
             ILogOutput* aOutput);

} // namespace mulberrysail::telemetry
