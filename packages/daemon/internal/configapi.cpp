#include "daemon/internal/configapi.h"

#include "daemon/internal/jsonfields.h"
#include "daemon/internal/operatorapi.h"
#include "network/errorresponse.h"

#include <limits>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using core::ErrorKind;
using network::HttpRequest;
using network::HttpResponder;
using network::HttpResponse;
using nlohmann::json;

constexpr int kOk = 200;
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::chrono::seconds kRetryAfter{ 1 };

core::Result<store::ConfigPatch>
ParsePatchBody(std::string_view aBody)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return core::Fail(ErrorKind::MalformedRequest,
                      "the body must be one JSON object in UTF-8");
  }
  JsonFields fields(*document, "");
  store::ConfigPatch patch;
  patch.m_baseVersion = { fields.RequiredWholeNumber(
    "base", 0, std::numeric_limits<std::uint64_t>::max()) };
  patch.m_id = fields.RequiredText("id", kMaxIdBytes);
  if (patch.m_id.empty()) {
    fields.AddError("id", "must not be empty");
  }
  const json* change = fields.Object("patch");
  if (change == nullptr) {
    fields.AddError("patch", "required");
  }
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  patch.m_patch = change->dump();
  return patch;
}

core::EventCode
EventOf(ErrorKind aKind)
{
  return aKind == ErrorKind::PatchUncertain
           ? core::EventCode::ConfigPatchUncertain
           : core::EventCode::ConfigPatchRejected;
}

HttpResponse
MakeError(const core::Error& aError)
{
  return network::MakeErrorResponse(aError.m_kind,
                                    { aError.m_detail, kRetryAfter });
}

} // namespace

ConfigApi::ConfigApi(store::IConfigService& aService,
                     const ConfigHolder& aConfig,
                     telemetry::IEventLog& aEvents)
  : m_service(aService)
  , m_config(aConfig)
  , m_events(aEvents)
{
}

void
ConfigApi::AddRoutes(Router& aRouter)
{
  aRouter.AddSimple(
    "GET", "/v1/config", [this](const HttpRequest&, PathParameters) {
      return Read();
    });
  aRouter.Add("POST",
              "/v1/config/patches",
              [this](const HttpRequest& aRequest,
                     PathParameters,
                     HttpResponder aResponder) {
                return Patch(aRequest, std::move(aResponder));
              });
}

HttpResponse
ConfigApi::Read() const
{
  const std::shared_ptr<const core::ConfigChanged> config = m_config.Get();
  if (!config) {
    return MakeError(
      { ErrorKind::StoreUnavailable, "no configuration is known yet" });
  }
  return MakeJsonResponse(
    kOk,
    { { "version", config->m_configuration.m_version.m_value },
      { "document", json::parse(config->m_document, nullptr, true, true) } });
}

network::DisconnectHook
ConfigApi::Patch(const HttpRequest& aRequest, HttpResponder aResponder)
{
  core::Result<store::ConfigPatch> patch = ParsePatchBody(aRequest.m_body);
  if (!patch) {
    aResponder(MakeError(patch.error()));
    return {};
  }
  const std::string id = patch.value().m_id;
  m_service.Patch(
    std::move(patch).value(),
    [this, id, responder = std::move(aResponder)](
      const core::Result<core::ConfigVersion>& aResult) {
      if (!aResult) {
        m_events.Record(core::RecordEvent{
          EventOf(aResult.error().m_kind),
          0,
          core::EventDetail()
            .Add("cause", core::DescribeError(aResult.error().m_kind).m_name)
            .Add("why", aResult.error().m_detail),
          id });
        responder(MakeError(aResult.error()));
        return;
      }
      const std::uint64_t version = aResult.value().m_value;
      m_events.Record(
        core::RecordEvent{ core::EventCode::ConfigPatchAccepted,
                           version,
                           core::EventDetail().Add("version", version),
                           id });
      responder(MakeJsonResponse(kOk, { { "version", version } }));
    });
  return {};
}

} // namespace mulberrysail::daemon
