#include "daemon/internal/submissioncodec.h"

#include "daemon/internal/jsonfields.h"
#include "daemon/internal/resourcescodec.h"
#include "network/errorresponse.h"

#include <charconv>
#include <limits>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using core::ErrorKind;
using nlohmann::json;

constexpr std::size_t kMaxPayloadBytes = 1ULL << 30U;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxTeamBytes = 64;
constexpr std::uint64_t kMaxRunMs = 86400000;
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr double kDefaultCores = 1;
constexpr std::string_view kDefaultTeam = "default";

std::optional<core::Duration>
Milliseconds(std::optional<std::uint64_t> aCount)
{
  if (!aCount) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*aCount);
}

std::optional<core::Duration>
ReadDeadline(JsonFields& aFields, const LimitSettings& aLimits)
{
  const std::chrono::milliseconds maxDeadline =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aLimits.m_maxDeadline);
  return Milliseconds(aFields.WholeNumber(
    "deadline_ms", 1, static_cast<std::uint64_t>(maxDeadline.count())));
}

std::string
ReadTeam(JsonFields& aFields)
{
  std::string team =
    aFields.Text("team", kMaxTeamBytes).value_or(std::string(kDefaultTeam));
  if (team.empty()) {
    aFields.AddError("team", "must not be empty");
  }
  return team;
}

std::optional<core::CallerKey>
ReadKey(JsonFields& aFields)
{
  std::optional<std::string> key = aFields.Text("key", kMaxKeyBytes);
  const std::optional<std::uint64_t> submission =
    aFields.WholeNumber("submission", 1, kMaxUint32);
  if (!key) {
    if (submission) {
      aFields.AddError("submission", "needs `key`");
    }
    return std::nullopt;
  }
  if (key->empty()) {
    aFields.AddError("key", "must not be empty");
  }
  core::CallerKey callerKey;
  callerKey.m_key = std::move(*key);
  callerKey.m_submission = static_cast<std::uint32_t>(submission.value_or(0));
  return callerKey;
}

core::Result<core::TaskSpec>
ReadTask(const json& aTask, std::size_t aIndex)
{
  JsonFields fields(aTask, "tasks[" + std::to_string(aIndex) + "].");
  core::TaskSpec task;
  task.m_payload = fields.RequiredText("payload", kMaxPayloadBytes);
  task.m_need = ReadResources(fields, kDefaultCores);
  task.m_declaredRun =
    Milliseconds(fields.WholeNumber("expected_run_ms", 0, kMaxRunMs));
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  return task;
}

core::Result<std::vector<core::TaskSpec>>
ReadTasks(JsonFields& aFields, std::uint32_t aMax)
{
  const json* list = aFields.List("tasks");
  if (list == nullptr || list->empty()) {
    return core::Fail(ErrorKind::MalformedRequest,
                      "tasks: expected a list with at least one task");
  }
  if (list->size() > aMax) {
    return core::Fail(ErrorKind::TooManyTasks,
                      std::to_string(list->size()) + " tasks, at most " +
                        std::to_string(aMax) + " are taken");
  }
  std::vector<core::TaskSpec> tasks;
  tasks.reserve(list->size());
  for (const json& item : *list) {
    core::Result<core::TaskSpec> task = ReadTask(item, tasks.size());
    if (!task) {
      return core::Fail(task.error().m_kind, task.error().m_detail);
    }
    tasks.push_back(std::move(task).value());
  }
  return tasks;
}

network::HttpResponse
MakeJson(int aStatus, const json& aBody)
{
  network::HttpResponse response;
  response.m_status = aStatus;
  response.m_body = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

network::HttpResponse
MakeFailure(const core::Answer& aAnswer)
{
  return network::MakeErrorResponse(
    aAnswer.m_kind,
    { aAnswer.m_detail, aAnswer.m_retryAfter, aAnswer.m_execution });
}

} // namespace

core::Result<core::SubmitRequest>
ParseRequestBody(std::string_view aService,
                 std::string_view aBody,
                 const LimitSettings& aLimits)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return core::Fail(ErrorKind::MalformedRequest,
                      "the body must be one JSON object in UTF-8");
  }
  JsonFields fields(*document, "");
  core::SubmitRequest request;
  request.m_service = aService;
  request.m_payload = fields.RequiredText("payload", kMaxPayloadBytes);
  request.m_repeatable = fields.Boolean("repeatable").value_or(false);
  request.m_key = ReadKey(fields);
  request.m_deadline = ReadDeadline(fields, aLimits);
  request.m_declaredRun =
    Milliseconds(fields.WholeNumber("expected_run_ms", 0, kMaxRunMs));
  request.m_team = ReadTeam(fields);
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  return request;
}

core::Result<JobBody>
ParseJobBody(std::string_view aService,
             std::string_view aBody,
             const LimitSettings& aLimits)
{
  const std::optional<json> document = ParseObject(aBody);
  if (!document) {
    return core::Fail(ErrorKind::MalformedRequest,
                      "the body must be one JSON object in UTF-8");
  }
  JsonFields fields(*document, "");
  JobBody body;
  body.m_job.m_service = aService;
  body.m_job.m_deadline = ReadDeadline(fields, aLimits);
  body.m_job.m_team = ReadTeam(fields);
  body.m_wait = fields.Boolean("wait").value_or(true);
  core::Result<std::vector<core::TaskSpec>> tasks =
    ReadTasks(fields, aLimits.m_tasksPerJob);
  if (std::optional<core::Error> error = FinishFields(fields)) {
    return *error;
  }
  if (!tasks) {
    return core::Fail(tasks.error().m_kind, tasks.error().m_detail);
  }
  body.m_job.m_tasks = std::move(tasks).value();
  return body;
}

std::string
FormatSubmission(core::SubmissionId aSubmission)
{
  return std::to_string(aSubmission.m_value);
}

std::optional<core::SubmissionId>
ParseSubmission(std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  std::uint64_t value = 0;
  const std::from_chars_result read = std::from_chars(aText.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return core::SubmissionId{ value };
}

network::HttpResponse
MakeRequestResponse(const core::Answer& aAnswer)
{
  if (aAnswer.m_kind != ErrorKind::None) {
    return MakeFailure(aAnswer);
  }
  if (aAnswer.m_outputs.size() != 1) {
    return network::MakeErrorResponse(
      ErrorKind::Internal, { "a request's answer has no single output" });
  }
  return MakeJson(200,
                  { { "submission", FormatSubmission(aAnswer.m_submission) },
                    { "output", aAnswer.m_outputs.front() } });
}

network::HttpResponse
MakeJobResponse(const core::Answer& aAnswer)
{
  if (aAnswer.m_kind != ErrorKind::None) {
    return MakeFailure(aAnswer);
  }
  return MakeJson(200,
                  { { "submission", FormatSubmission(aAnswer.m_submission) },
                    { "outputs", aAnswer.m_outputs } });
}

network::HttpResponse
MakeAcceptedResponse(core::SubmissionId aSubmission)
{
  return MakeJson(202, { { "submission", FormatSubmission(aSubmission) } });
}

network::HttpResponse
MakeStatusResponse(const core::SubmissionStatus& aStatus)
{
  json body = { { "submission", FormatSubmission(aStatus.m_submission) },
                { "service", aStatus.m_service },
                { "team", aStatus.m_team },
                { "state", aStatus.m_answer ? "done" : "open" },
                { "waiting", aStatus.m_waiting },
                { "offered", aStatus.m_offered },
                { "done", aStatus.m_done } };
  if (aStatus.m_answer && aStatus.m_answer->m_kind == ErrorKind::None) {
    body["outputs"] = aStatus.m_answer->m_outputs;
  } else if (aStatus.m_answer) {
    body["error"] = json::parse(MakeFailure(*aStatus.m_answer).m_body)["error"];
  }
  return MakeJson(200, body);
}

} // namespace mulberrysail::daemon
