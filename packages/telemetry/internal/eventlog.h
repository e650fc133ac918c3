#pragma once

#include "core/types/ids.h"
#include "telemetry/ieventlog.h"
#include "telemetry/internal/hybridclock.h"

#include <boost/circular_buffer.hpp>

#include <mutex>

namespace mulberrysail::telemetry {

/** Logs through glog and keeps the newest events. */
class EventLog : public IEventLog
{
public:
  EventLog(core::ProcessId aSelf, std::size_t aCapacity);

  void Record(core::EventCode aCode,
              std::uint64_t aSubject,
              std::string aDetail) override;
  std::uint64_t Stamp() override;
  void Merge(std::uint64_t aStamp) override;
  std::vector<TimelineEvent> Events(std::uint64_t aSince) const override;

private:
  /** An event without what is the same for all of the process. */
  struct Entry
  {
    std::uint64_t m_stamp = 0;
    core::EventCode m_code{};
    std::uint64_t m_subject = 0;
    std::string m_detail;
  };

  const core::ProcessId m_self;
  HybridClock m_clock;
  mutable std::mutex m_mutex;
  boost::circular_buffer<Entry> m_ring;
};

/** @return the event as it stands in the log:
 * event=301 name=attempt-refused subject=7 detail="..." */
std::string
LogLine(core::EventCode aCode,
        std::uint64_t aSubject,
        const std::string& aDetail);

} // namespace mulberrysail::telemetry
