#include "telemetry/eventlevel.h"

#include <algorithm>
#include <array>

namespace mulberrysail::telemetry {

namespace {

using core::EventCode;

constexpr std::array kVerbose = { EventCode::AttemptQueued };

constexpr std::array kWarnings = {
  EventCode::SettingsRejected,     EventCode::LogLimited,
  EventCode::SubmissionRefused,    EventCode::CallerGone,
  EventCode::SubmissionRejected,   EventCode::SubmissionFailed,
  EventCode::ForwardFailed,        EventCode::AttemptRefused,
  EventCode::AttemptLost,          EventCode::AttemptRetried,
  EventCode::RunRejected,          EventCode::RunUnclear,
  EventCode::AttemptFailed,        EventCode::AgentForgotten,
  EventCode::EntryForgotten,       EventCode::EntrySilent,
  EventCode::AgentSilent,          EventCode::EndpointLapsed,
  EventCode::WorkerLapsed,         EventCode::WorkerQuarantined,
  EventCode::RunsLapsed,           EventCode::ForeignRunStopped,
  EventCode::QueueIsolated,        EventCode::WorkerCrashed,
  EventCode::WorkGivenUp,          EventCode::KeyUncertain,
  EventCode::ConfigPatchUncertain, EventCode::StoreUnavailable,
  EventCode::ConfigUnreadable,     EventCode::MessageRejected,
  EventCode::MessageDropped,       EventCode::DrainedZoneUnknown,
  EventCode::ZoneDrainRejected,    EventCode::ZoneDrainUnreadable,
  EventCode::AnnouncementRejected, EventCode::EntryUnreadable,
};

template<std::size_t Size>
bool
Contains(const std::array<EventCode, Size>& aCodes, EventCode aCode)
{
  return std::find(aCodes.begin(), aCodes.end(), aCode) != aCodes.end();
}

} // namespace

EventLevel
LevelOf(EventCode aCode)
{
  if (Contains(kWarnings, aCode)) {
    return EventLevel::Warning;
  }
  return Contains(kVerbose, aCode) ? EventLevel::Verbose : EventLevel::Info;
}

std::string_view
LevelName(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Verbose:
      return "verbose";
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
  }
  return "info";
}

} // namespace mulberrysail::telemetry
