#include "telemetry/timelinejson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace mulberrysail::telemetry {

namespace {

using Json = nlohmann::json;

/** @return a number given as a JSON number or as a decimal string. */
std::uint64_t
Number(const Json& aValue)
{
  return aValue.is_string() ? std::stoull(aValue.get<std::string>())
                            : aValue.get<std::uint64_t>();
}

Json
EventToJson(const TimelineEvent& aEvent)
{
  return { { "stamp", std::to_string(aEvent.m_stamp) },
           { "code", static_cast<int>(aEvent.m_code) },
           { "name", core::EventName(aEvent.m_code) },
           { "subject", std::to_string(aEvent.m_subject) },
           { "id", aEvent.m_id },
           { "detail", aEvent.m_detail } };
}

TimelineEvent
EventFromJson(const Json& aJson)
{
  TimelineEvent event;
  event.m_stamp = Number(aJson.at("stamp"));
  event.m_code =
    static_cast<core::EventCode>(aJson.at("code").get<std::uint16_t>());
  event.m_subject = Number(aJson.at("subject"));
  event.m_id = aJson.value("id", "");
  event.m_detail = aJson.at("detail").get<std::string>();
  return event;
}

} // namespace

std::string
TimelineToJson(const core::ProcessId& aSelf,
               std::span<const TimelineEvent> aEvents)
{
  Json events = Json::array();
  for (const TimelineEvent& event : aEvents) {
    events.push_back(EventToJson(event));
  }
  const Json timeline = { { "process", aSelf.m_name },
                          { "incarnation",
                            std::to_string(aSelf.m_incarnation.m_value) },
                          { "events", std::move(events) } };
  return timeline.dump(-1, ' ', false, Json::error_handler_t::replace);
}

core::Result<std::vector<TimelineEvent>>
TimelineFromJson(std::string_view aJson)
{
  try {
    const Json timeline = Json::parse(aJson);
    const std::string process = timeline.at("process").get<std::string>();
    const std::uint64_t incarnation = Number(timeline.at("incarnation"));
    std::vector<TimelineEvent> events;
    for (const Json& entry : timeline.at("events")) {
      events.push_back(EventFromJson(entry));
      events.back().m_process = process;
      events.back().m_incarnation = incarnation;
    }
    return events;
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::MalformedRequest, error.what());
  }
}

} // namespace mulberrysail::telemetry
