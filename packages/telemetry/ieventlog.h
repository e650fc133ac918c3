#pragma once

#include "core/types/eventcode.h"
#include "core/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::telemetry {

/** One event of the time line. */
struct TimelineEvent
{
  /** Hybrid logical time: milliseconds of wall time in the upper 48 bits, a
   * counter in the lower 16. Orders events over all processes. */
  std::uint64_t m_stamp = 0;
  std::string m_process;
  std::uint64_t m_incarnation = 0;
  core::EventCode m_code{};
  std::uint64_t m_subject = 0;
  std::string m_detail;
};

/** The events of one process: numbered in the log, kept in a bounded ring.
 * Thread-safe. */
class IEventLog
{
public:
  virtual ~IEventLog() = default;

  virtual void Record(core::EventCode aCode,
                      std::uint64_t aSubject,
                      std::string aDetail) = 0;

  /** @return hybrid logical time for an outgoing message. */
  virtual std::uint64_t Stamp() = 0;

  /** Takes in the time of a message received. */
  virtual void Merge(std::uint64_t aStamp) = 0;

  /** @return what the ring holds from @p aSince on, oldest first. */
  virtual std::vector<TimelineEvent> Events(std::uint64_t aSince) const = 0;
};

/**
 * @param aSelf the process whose events are recorded.
 * @param aCapacity how many events the ring holds; the oldest go first.
 */
std::unique_ptr<IEventLog>
MakeEventLog(core::ProcessId aSelf, std::size_t aCapacity);

} // namespace mulberrysail::telemetry
