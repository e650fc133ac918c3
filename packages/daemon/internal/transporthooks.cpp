#include "daemon/internal/transporthooks.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

network::TransportHooks
MakeCommonHooks(telemetry::IEventLog& aEvents)
{
  network::TransportHooks hooks;
  hooks.m_onRejected = [&aEvents](const std::string& aDetail) {
    aEvents.Record(core::EventCode::MessageRejected,
                   core::EventDetail().Add("cause", aDetail));
  };
  hooks.m_now = Now;
  hooks.m_stamp = [&aEvents] { return aEvents.Stamp(); };
  hooks.m_mergeStamp = [&aEvents](std::uint64_t aStamp) {
    aEvents.Merge(aStamp);
  };
  return hooks;
}

} // namespace mulberrysail::daemon
