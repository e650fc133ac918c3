#include "ctl/internal/failure.h"

#include "core/types/errorkind.h"

#include <nlohmann/json.hpp>

namespace mulberrysail::ctl {

namespace {

using Json = nlohmann::json;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/** @return the fields of an error body; an empty object if it has none. */
Json
ReadError(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body.at("error").is_object()) {
    return Json::object();
  }
  return body.at("error");
}

std::string
TextOf(const Json& aError, const std::string& aName)
{
  const auto field = aError.find(aName);
  return field != aError.end() && field->is_string() ? field->get<std::string>()
                                                     : std::string();
}

ExitCode
ExitCodeOf(const ApiCall& aCall,
           const std::string& aKind,
           const std::string& aExecution)
{
  const std::string_view conflict =
    core::DescribeError(core::ErrorKind::VersionConflict).m_name;
  if (aKind == conflict) {
    return ExitCode::Conflict;
  }
  const bool provedNotRun =
    aExecution == core::ExecutionName(core::Execution::NotRun);
  return aCall.m_changes && !provedNotRun ? ExitCode::MayHaveRun
                                          : ExitCode::NotRun;
}

/** @return such as "overloaded: the queue is full (not-run, retry later)". */
std::string
TextOfError(const Json& aError, const std::string& aKind)
{
  std::string text = aKind;
  const std::string detail = TextOf(aError, "detail");
  if (!detail.empty()) {
    text += ": " + detail;
  }
  text +=
    " (" + TextOf(aError, "execution") + ", retry " + TextOf(aError, "retry");
  const auto after = aError.find("retry_after_ms");
  if (after != aError.end() && after->is_number()) {
    text += " after " + after->dump() + " ms";
  }
  return text + ")";
}

} // namespace

bool
Succeeded(const network::HttpOutcome& aOutcome)
{
  return aOutcome.m_delivery == network::HttpDelivery::Answered &&
         aOutcome.m_status >= kFirstSuccess &&
         aOutcome.m_status < kFirstRedirect;
}

Failure
DescribeFailure(const ApiCall& aCall, const network::HttpOutcome& aOutcome)
{
  switch (aOutcome.m_delivery) {
    case network::HttpDelivery::NeverSent:
      return { ExitCode::CantConnect, "can't connect: " + aOutcome.m_detail };
    case network::HttpDelivery::Lost:
      return { aCall.m_changes ? ExitCode::MayHaveRun : ExitCode::CantConnect,
               "no answer: " + aOutcome.m_detail };
    case network::HttpDelivery::Answered:
      break;
  }
  const Json error = ReadError(aOutcome.m_body);
  const std::string kind = TextOf(error, "kind");
  if (kind.empty()) {
    return { aCall.m_changes ? ExitCode::MayHaveRun : ExitCode::NotRun,
             "unexpected answer with status " +
               std::to_string(aOutcome.m_status) };
  }
  return { ExitCodeOf(aCall, kind, TextOf(error, "execution")),
           TextOfError(error, kind) };
}

} // namespace mulberrysail::ctl
