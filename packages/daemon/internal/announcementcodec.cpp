#include "daemon/internal/announcementcodec.h"

#include "daemon/internal/jsonfields.h"
#include "daemon/internal/resourcescodec.h"
#include "daemon/internal/runner.h"
#include "daemon/settings/settingfield.h"

#include <limits>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using core::ErrorKind;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxUrlBytes = 256;
constexpr std::size_t kMaxRunNameBytes = 256;
constexpr std::uint64_t kMaxSlots = 100000;
constexpr std::uint64_t kMaxWarmUpMs = 24ULL * 3600 * 1000;

core::Error
NotAnObjectError()
{
  return { ErrorKind::MalformedRequest,
           "the body must be one JSON object in UTF-8" };
}

std::string
ReadName(JsonFields& aFields, std::string_view aField)
{
  std::string name = aFields.RequiredText(aField, kMaxNameBytes);
  if (!input::HasForm(name, TextForm::Name)) {
    aFields.AddError(aField, "expected letters, digits, '.', '_' or '-'");
  }
  return name;
}

std::string
ReadUrl(JsonFields& aFields)
{
  std::string url = aFields.RequiredText("url", kMaxUrlBytes);
  if (!input::HasForm(url, TextForm::HttpUrl)) {
    aFields.AddError("url", "expected http://HOST:PORT");
  }
  return url;
}

/** Reads one item of a usage list. Skips a run whose name is not in the format
 * of an agent's runs, as no agent started it. */
std::optional<core::Error>
ReadUsage(const json& aItem, std::vector<core::TaskUsage>& aUsage)
{
  JsonFields fields(aItem, "usage.");
  const std::string name = fields.RequiredText("run", kMaxRunNameBytes);
  core::TaskUsage usage;
  usage.m_used = ReadResources(fields, 0);
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return error;
  }
  if (const std::optional<core::RunId> run = ParseRunName(name)) {
    usage.m_run = *run;
    aUsage.push_back(usage);
  }
  return std::nullopt;
}

} // namespace

core::Result<core::EndpointAnnounced>
ParseEndpointBody(std::string_view aBody)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return NotAnObjectError();
  }
  JsonFields fields(*document, "");
  core::EndpointAnnounced announced;
  announced.m_info.m_service = ReadName(fields, "service");
  announced.m_info.m_slots = static_cast<std::uint32_t>(
    fields.RequiredWholeNumber("slots", 0, kMaxSlots));
  announced.m_info.m_connections = static_cast<std::uint32_t>(
    fields.RequiredWholeNumber("connections", 0, kMaxSlots));
  announced.m_url = ReadUrl(fields);
  announced.m_info.m_leaving = fields.Boolean("leaving").value_or(false);
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  return announced;
}

core::Result<core::WorkerAnnounced>
ParseWorkerBody(std::string_view aBody)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return NotAnObjectError();
  }
  JsonFields fields(*document, "");
  core::WorkerAnnounced announced;
  announced.m_info.m_name = ReadName(fields, "name");
  announced.m_info.m_rack = fields.Text("rack", kMaxNameBytes).value_or("");
  announced.m_info.m_capacity = ReadResources(fields, 0);
  announced.m_url = ReadUrl(fields);
  announced.m_leaving = fields.Boolean("leaving").value_or(false);
  announced.m_warmUpRemaining = std::chrono::milliseconds(
    fields.WholeNumber("warm_up_remaining_ms", 0, kMaxWarmUpMs).value_or(0));
  if (const json* usage = fields.List("usage")) {
    for (const json& item : *usage) {
      if (std::optional<core::Error> error =
            ReadUsage(item, announced.m_usage)) {
        return *error;
      }
    }
  }
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  return announced;
}

core::Result<std::string>
ParseLocateBody(std::string_view aBody)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return NotAnObjectError();
  }
  JsonFields fields(*document, "");
  std::string name = ReadName(fields, "name");
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  return name;
}

} // namespace mulberrysail::daemon
