#include "ctl/internal/apicall.h"

#include <nlohmann/json.hpp>

#include <cctype>
#include <string_view>

namespace mulberrysail::ctl {

namespace {

using Json = nlohmann::json;

/** @return the text as one segment of a path. */
std::string
PathSegment(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "-._~";
  std::string segment;
  for (const char character : aText) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        kUnreserved.find(character) != kUnreserved.npos) {
      segment += character;
      continue;
    }
    segment += '%';
    segment += kHexDigits[byte >> 4U];
    segment += kHexDigits[byte & 0xFU];
  }
  return segment;
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Adds the fields that requests and jobs share. */
template<typename Submit>
void
AddCallerFields(Json& aBody, const Submit& aCommand)
{
  if (aCommand.m_deadline) {
    aBody["deadline_ms"] = aCommand.m_deadline->count();
  }
  if (aCommand.m_team) {
    aBody["team"] = *aCommand.m_team;
  }
}

/** Makes the call of each command. */
struct CallMaker
{
  std::optional<ApiCall> operator()(const SubmitRequestCommand& aCommand) const
  {
    Json body = { { "payload", aCommand.m_payload } };
    AddCallerFields(body, aCommand);
    if (aCommand.m_repeatable) {
      body["repeatable"] = true;
    }
    if (aCommand.m_key) {
      body["key"] = *aCommand.m_key;
    }
    if (aCommand.m_submission) {
      body["submission"] = *aCommand.m_submission;
    }
    if (aCommand.m_expectedRun) {
      body["expected_run_ms"] = aCommand.m_expectedRun->count();
    }
    return Submit(aCommand.m_service, "/requests", body);
  }

  std::optional<ApiCall> operator()(const SubmitJobCommand& aCommand) const
  {
    Json body = { { "tasks", Json::parse(aCommand.m_tasks) } };
    AddCallerFields(body, aCommand);
    if (!aCommand.m_wait) {
      body["wait"] = false;
    }
    return Submit(aCommand.m_service, "/jobs", body);
  }

  std::optional<ApiCall> operator()(const CancelCommand& aCommand) const
  {
    return ApiCall{ .m_method = "DELETE",
                    .m_path = "/v1/submissions/" + aCommand.m_submission,
                    .m_body = {},
                    .m_changes = true };
  }

  std::optional<ApiCall> operator()(const StatusCommand& aCommand) const
  {
    return aCommand.m_submission
             ? Get("/v1/submissions/" + *aCommand.m_submission)
             : Get("/v1/status");
  }

  std::optional<ApiCall> operator()(const ServicesCommand& /*aCommand*/) const
  {
    return Get("/v1/services");
  }

  std::optional<ApiCall> operator()(const ConfigGetCommand& /*aCommand*/) const
  {
    return Get("/v1/config");
  }

  std::optional<ApiCall> operator()(const PatchCommand& aCommand) const
  {
    const Json body = { { "base", aCommand.m_base },
                        { "id", aCommand.m_id },
                        { "patch", Json::parse(aCommand.m_patch) } };
    return Post("/v1/config/patches", Dump(body));
  }

  std::optional<ApiCall> operator()(const DrainCommand& /*aCommand*/) const
  {
    return Post("/v1/drain", "");
  }

  std::optional<ApiCall> operator()(const ChangeDrainCommand& aCommand) const
  {
    return ApiCall{ .m_method = aCommand.m_drained ? "PUT" : "DELETE",
                    .m_path = "/v1/drains/" + PathSegment(aCommand.m_zone),
                    .m_body = {},
                    .m_changes = true };
  }

  std::optional<ApiCall> operator()(const DrainsCommand& /*aCommand*/) const
  {
    return Get("/v1/drains");
  }

  std::optional<ApiCall> operator()(const EndpointsCommand& /*aCommand*/) const
  {
    return Get("/v1/agents");
  }

  std::optional<ApiCall> operator()(const WorkersCommand& /*aCommand*/) const
  {
    return Get("/v1/workers");
  }

  std::optional<ApiCall> operator()(const TimelineCommand& aCommand) const
  {
    return Get("/v1/timeline?since=" + std::to_string(aCommand.m_since));
  }

  std::optional<ApiCall> operator()(const VersionCommand& /*aCommand*/) const
  {
    return std::nullopt;
  }

  std::optional<ApiCall> operator()(const ExplainCommand& /*aCommand*/) const
  {
    return std::nullopt;
  }

  std::optional<ApiCall> operator()(const HelpCommand& /*aCommand*/) const
  {
    return std::nullopt;
  }

private:
  static ApiCall Get(const std::string& aPath)
  {
    return { .m_method = "GET", .m_path = aPath, .m_body = {} };
  }

  static ApiCall Post(const std::string& aPath, const std::string& aBody)
  {
    return { "POST", aPath, aBody, true };
  }

  static ApiCall Submit(const std::string& aService,
                        const std::string& aKind,
                        const Json& aBody)
  {
    return Post("/v1/services/" + PathSegment(aService) + aKind, Dump(aBody));
  }
};

} // namespace

std::optional<ApiCall>
MakeApiCall(const Command& aCommand)
{
  return std::visit(CallMaker{}, aCommand);
}

} // namespace mulberrysail::ctl
