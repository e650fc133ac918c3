#include "daemon/internal/entryapi.h"

#include "core/iagent.h"
#include "daemon/internal/announcementcodec.h"
#include "daemon/internal/clock.h"
#include "daemon/internal/operatorapi.h"
#include "daemon/internal/statuscodec.h"
#include "network/errorresponse.h"

#include <map>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using core::ErrorKind;
using network::DisconnectHook;
using network::HttpRequest;
using network::HttpResponder;
using network::HttpResponse;

constexpr int kOk = 200;

HttpResponse
MakeError(const core::Error& aError)
{
  return network::MakeErrorResponse(aError.m_kind, { aError.m_detail });
}

HttpResponse
MakeNoConfigurationResponse()
{
  return network::MakeErrorResponse(ErrorKind::StoreUnavailable,
                                    { "no configuration is known yet",
                                      std::chrono::seconds(1),
                                      core::Execution::NotRun });
}

HttpResponse
MakeUnknownSubmissionResponse()
{
  return network::MakeErrorResponse(ErrorKind::UnknownSubmission,
                                    { "this entry holds no such submission" });
}

DisconnectHook
MakeDisconnectHook(EntryShard& aShard, core::CallerToken aCaller)
{
  return [&aShard, aCaller] { aShard.HandleDisconnect(aCaller); };
}

} // namespace

EntryApi::EntryApi(ShardSet& aShards,
                   const ConfigHolder& aConfig,
                   ResponseMetrics& aMetrics,
                   const LimitSettings& aLimits)
  : m_shards(aShards)
  , m_config(aConfig)
  , m_metrics(aMetrics)
  , m_limits(aLimits)
{
}

void
EntryApi::AddRoutes(Router& aRouter)
{
  aRouter.Add("POST",
              "/v1/services/{}/requests",
              [this](const HttpRequest& aRequest,
                     PathParameters aParameters,
                     HttpResponder aResponder) {
                return SubmitRequest(
                  aRequest, aParameters[0], std::move(aResponder));
              });
  aRouter.Add("POST",
              "/v1/services/{}/jobs",
              [this](const HttpRequest& aRequest,
                     PathParameters aParameters,
                     HttpResponder aResponder) {
                return SubmitJob(
                  aRequest, aParameters[0], std::move(aResponder));
              });
  aRouter.AddSimple("GET",
                    "/v1/submissions/{}",
                    [this](const HttpRequest&, PathParameters aParameters) {
                      return Status(aParameters[0]);
                    });
  aRouter.AddSimple("DELETE",
                    "/v1/submissions/{}",
                    [this](const HttpRequest&, PathParameters aParameters) {
                      return Cancel(aParameters[0]);
                    });
  aRouter.AddSimple(
    "GET", "/v1/agents", [this](const HttpRequest&, PathParameters) {
      return MakeJsonResponse(kOk, AgentsToJson(m_shards.Agents()));
    });
  aRouter.AddSimple(
    "GET", "/v1/workers", [this](const HttpRequest&, PathParameters) {
      return MakeJsonResponse(kOk, WorkersToJson(m_shards.Agents()));
    });
  aRouter.AddSimple(
    "GET", "/v1/services", [this](const HttpRequest&, PathParameters) {
      return Services();
    });
  aRouter.AddSimple("POST",
                    "/v1/workers/locate",
                    [this](const HttpRequest& aRequest, PathParameters) {
                      return LocateAgents(aRequest);
                    });
}

DisconnectHook
EntryApi::SubmitRequest(const HttpRequest& aRequest,
                        std::string_view aService,
                        HttpResponder aResponder)
{
  if (!m_config.Get()) {
    aResponder(MakeNoConfigurationResponse());
    return {};
  }
  core::Result<core::SubmitRequest> request =
    ParseRequestBody(aService, aRequest.m_body, m_limits);
  if (!request) {
    aResponder(MakeError(request.error()));
    return {};
  }
  EntryShard& shard = m_shards.ShardForName(aService);
  const core::CallerToken caller =
    shard.Submit(std::move(request).value(),
                 MakeSink(core::WorkKind::Request, std::move(aResponder)));
  return MakeDisconnectHook(shard, caller);
}

DisconnectHook
EntryApi::SubmitJob(const HttpRequest& aRequest,
                    std::string_view aService,
                    HttpResponder aResponder)
{
  if (!m_config.Get()) {
    aResponder(MakeNoConfigurationResponse());
    return {};
  }
  core::Result<JobBody> body =
    ParseJobBody(aService, aRequest.m_body, m_limits);
  if (!body) {
    aResponder(MakeError(body.error()));
    return {};
  }
  core::SubmitJob& job = body.value().m_job;
  if (body.value().m_wait) {
    return SubmitAndWait(std::move(job), std::move(aResponder));
  }
  aResponder(SubmitDetached(std::move(job)));
  return {};
}

DisconnectHook
EntryApi::SubmitAndWait(core::SubmitJob aJob, HttpResponder aResponder)
{
  EntryShard& shard = m_shards.ShardForJobs();
  const core::CallerToken caller = shard.Submit(
    std::move(aJob), MakeSink(core::WorkKind::Task, std::move(aResponder)));
  return MakeDisconnectHook(shard, caller);
}

HttpResponse
EntryApi::SubmitDetached(core::SubmitJob aJob)
{
  const std::variant<core::SubmissionId, core::Answer> result =
    m_shards.ShardForJobs().SubmitDetached(std::move(aJob));
  if (const core::Answer* refusal = std::get_if<core::Answer>(&result)) {
    return MakeJobResponse(*refusal);
  }
  return MakeAcceptedResponse(std::get<core::SubmissionId>(result));
}

HttpResponse
EntryApi::Status(std::string_view aId)
{
  const std::optional<core::SubmissionId> id = ParseSubmission(aId);
  EntryShard* shard = id ? m_shards.ShardForSubmission(*id) : nullptr;
  if (shard == nullptr) {
    return MakeUnknownSubmissionResponse();
  }
  const std::optional<core::SubmissionStatus> status = shard->Status(*id);
  return status ? MakeStatusResponse(*status) : MakeUnknownSubmissionResponse();
}

HttpResponse
EntryApi::Cancel(std::string_view aId)
{
  const std::optional<core::SubmissionId> id = ParseSubmission(aId);
  EntryShard* shard = id ? m_shards.ShardForSubmission(*id) : nullptr;
  if (shard == nullptr || !shard->Status(*id)) {
    return MakeUnknownSubmissionResponse();
  }
  shard->Handle(core::CancelSubmission{ *id });
  return MakeJsonResponse(kOk, { { "submission", aId } });
}

HttpResponse
EntryApi::Services() const
{
  const std::shared_ptr<const core::ConfigChanged> config = m_config.Get();
  return MakeJsonResponse(
    kOk,
    ServicesToJson(config ? config->m_configuration : core::Configuration{},
                   m_shards.Agents()));
}

HttpResponse
EntryApi::LocateAgents(const HttpRequest& aRequest) const
{
  const core::Result<std::string> worker = ParseLocateBody(aRequest.m_body);
  if (!worker) {
    return MakeError(worker.error());
  }
  // Agents are ordered by name and incarnation, so the later incarnation of
  // an agent replaces the earlier one.
  std::map<std::string, std::string> urls;
  for (const core::AgentStatus& agent : m_shards.Agents()) {
    if (!agent.m_leaving && !agent.m_httpAddress.empty()) {
      urls[agent.m_agent.m_name] = agent.m_httpAddress;
    }
  }
  std::vector<std::string> names;
  names.reserve(urls.size());
  for (const auto& [name, url] : urls) {
    names.push_back(name);
  }
  nlohmann::json agents = nlohmann::json::array();
  for (const std::size_t index : core::RendezvousRank(worker.value(), names)) {
    agents.push_back(urls[names[index]]);
  }
  return MakeJsonResponse(kOk, { { "agents", std::move(agents) } });
}

AnswerSink
EntryApi::MakeSink(core::WorkKind aKind, HttpResponder aResponder)
{
  return [this, aKind, responder = std::move(aResponder), arrived = Now()](
           const core::Answer& aAnswer) {
    m_metrics.ObserveAnswer(aKind, aAnswer, Now() - arrived);
    responder(aKind == core::WorkKind::Request ? MakeRequestResponse(aAnswer)
                                               : MakeJobResponse(aAnswer));
  };
}

} // namespace mulberrysail::daemon
