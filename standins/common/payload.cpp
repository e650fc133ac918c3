#include "standins/common/payload.h"

#include <nlohmann/json.hpp>

namespace mulberrysail::standins {

namespace {

std::string
MarkOf(const nlohmann::json& aObject)
{
  for (const char* name : { "id", "echo" }) {
    const auto field = aObject.find(name);
    if (field != aObject.end()) {
      return field->is_string() ? field->get<std::string>() : field->dump();
    }
  }
  return {};
}

} // namespace

Payload
ParsePayload(std::string_view aText)
{
  const nlohmann::json object = nlohmann::json::parse(aText, nullptr, false);
  Payload payload;
  if (!object.is_object()) {
    return payload;
  }
  payload.m_run = std::chrono::milliseconds(object.value("run_ms", 0));
  payload.m_fail = object.value("fail", false);
  if (object.contains("crash_ms")) {
    payload.m_crashAfter =
      std::chrono::milliseconds(object["crash_ms"].get<int>());
  }
  payload.m_id = MarkOf(object);
  if (object.contains("actual_cores")) {
    payload.m_actualCores = object["actual_cores"].get<double>();
  }
  if (object.contains("actual_memory_mb")) {
    payload.m_actualMemoryMb = object["actual_memory_mb"].get<std::uint32_t>();
  }
  return payload;
}

} // namespace mulberrysail::standins
