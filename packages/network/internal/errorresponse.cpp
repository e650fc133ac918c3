#include "network/errorresponse.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace mulberrysail::network {

namespace {

std::string_view
RetryName(core::Retry aRetry)
{
  switch (aRetry) {
    case core::Retry::Never:
      return "never";
    case core::Retry::AfterChange:
      return "after-change";
    case core::Retry::Later:
      return "later";
  }
  return "never";
}

} // namespace

HttpResponse
MakeErrorResponse(core::ErrorKind aKind, const ErrorDetails& aDetails)
{
  const core::ErrorRow& row = core::DescribeError(aKind);
  const core::Execution execution =
    aDetails.m_execution.value_or(row.m_execution);
  nlohmann::json error = { { "kind", row.m_name },
                           { "execution", core::ExecutionName(execution) },
                           { "retry", RetryName(row.m_retry) },
                           { "detail", aDetails.m_detail } };
  HttpResponse response;
  response.m_status = row.m_httpStatus;
  if (aDetails.m_retryAfter && row.m_retry == core::Retry::Later) {
    error["retry_after_ms"] =
      std::chrono::ceil<std::chrono::milliseconds>(*aDetails.m_retryAfter)
        .count();
    response.m_headers["Retry-After"] = std::to_string(
      std::chrono::ceil<std::chrono::seconds>(*aDetails.m_retryAfter).count());
  }
  // Text from a caller may be invalid UTF-8.
  response.m_body = nlohmann::json{ { "error", error } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

} // namespace mulberrysail::network
