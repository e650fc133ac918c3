#include "daemon/internal/runner.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace mulberrysail::daemon {

namespace {

using std::chrono::milliseconds;

constexpr int kMilliCoresPerCore = 1000;
constexpr milliseconds kStopTimeout{ 2000 };

std::string
RunPrefix(const core::ProcessId& aSelf)
{
  return aSelf.m_name + "-" + std::to_string(aSelf.m_incarnation.m_value) + "-";
}

/** Outputs are forwarded in JSON, which allows only UTF-8. */
bool
IsUtf8(const std::string& aText)
{
  try {
    return !nlohmann::json(aText).dump().empty();
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

std::string
FormatCores(std::uint32_t aMilliCores)
{
  return nlohmann::json(static_cast<double>(aMilliCores) / kMilliCoresPerCore)
    .dump();
}

network::HttpCall
MakeRequestCall(core::StartRun aStart, std::string aName)
{
  network::HttpCall call;
  call.m_url = aStart.m_target.m_url + "/v1/run";
  call.m_timeout = std::chrono::ceil<milliseconds>(aStart.m_lease);
  call.m_headers["X-Run"] = std::move(aName);
  call.m_headers["X-Deadline-Ms"] = std::to_string(call.m_timeout.count());
  call.m_body = std::move(aStart.m_payload);
  return call;
}

network::HttpCall
MakeTaskCall(core::StartRun aStart, const std::string& aName)
{
  network::HttpCall call;
  call.m_url = aStart.m_target.m_url + "/v1/tasks/" + aName;
  call.m_timeout = std::chrono::ceil<milliseconds>(aStart.m_lease);
  call.m_headers["X-Cores"] = FormatCores(aStart.m_need.m_milliCores);
  call.m_headers["X-Memory-Mb"] = std::to_string(aStart.m_need.m_memoryMb);
  call.m_headers["X-Accelerators"] =
    std::to_string(aStart.m_need.m_accelerators);
  call.m_headers["X-Lease-Ms"] = std::to_string(call.m_timeout.count());
  call.m_body = std::move(aStart.m_payload);
  return call;
}

core::RunOutcome
ToRunOutcome(const network::HttpOutcome& aOutcome)
{
  constexpr int kSuccess = 200;
  constexpr int kAfterSuccess = 300;
  switch (aOutcome.m_delivery) {
    case network::HttpDelivery::NeverSent:
      return core::RunOutcome::NeverSent;
    case network::HttpDelivery::Lost:
      return core::RunOutcome::Lost;
    case network::HttpDelivery::Answered:
      break;
  }
  const bool success =
    aOutcome.m_status >= kSuccess && aOutcome.m_status < kAfterSuccess;
  return success ? core::RunOutcome::Completed : core::RunOutcome::Failed;
}

core::RunFinished
MakeRunFinished(core::RunId aRun, network::HttpOutcome aOutcome)
{
  core::RunFinished finished;
  finished.m_run = aRun;
  finished.m_outcome = ToRunOutcome(aOutcome);
  if (aOutcome.m_delivery != network::HttpDelivery::Answered) {
    finished.m_output = std::move(aOutcome.m_detail);
    return finished;
  }
  if (!IsUtf8(aOutcome.m_body)) {
    finished.m_outcome = core::RunOutcome::Failed;
    finished.m_output = "the output is not UTF-8";
    return finished;
  }
  finished.m_output = std::move(aOutcome.m_body);
  return finished;
}

} // namespace

HttpRunner::HttpRunner(network::IHttpClient& aClient,
                       const core::ProcessId& aSelf,
                       OutcomeSink aSink)
  : m_client(aClient)
  , m_prefix(RunPrefix(aSelf))
  , m_sink(std::move(aSink))
{
}

void
HttpRunner::Start(core::StartRun aStart)
{
  const core::RunId run = aStart.m_run;
  std::string name = RunName(run);
  network::HttpCall call =
    aStart.m_target.m_kind == core::WorkKind::Request
      ? MakeRequestCall(std::move(aStart), std::move(name))
      : MakeTaskCall(std::move(aStart), name);
  m_client.Call(std::move(call), [this, run](network::HttpOutcome aOutcome) {
    m_sink(MakeRunFinished(run, std::move(aOutcome)));
  });
}

void
HttpRunner::Stop(core::StopRun aStop)
{
  if (aStop.m_target.m_kind != core::WorkKind::Task) {
    return;
  }
  network::HttpCall call;
  call.m_url =
    aStop.m_target.m_url + "/v1/tasks/" + RunName(aStop.m_run) + "/stop";
  call.m_timeout = kStopTimeout;
  m_client.Call(std::move(call), [](const network::HttpOutcome&) {});
}

std::string
HttpRunner::RunName(core::RunId aRun) const
{
  return m_prefix + std::to_string(aRun.m_value);
}

std::optional<core::RunId>
ParseRunName(std::string_view aName)
{
  const std::size_t hyphen = aName.rfind('-');
  if (hyphen == std::string_view::npos) {
    return std::nullopt;
  }
  aName.remove_prefix(hyphen + 1);
  const char* end = aName.data() + aName.size();
  std::uint64_t value = 0;
  const std::from_chars_result read = std::from_chars(aName.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return core::RunId{ value };
}

} // namespace mulberrysail::daemon
