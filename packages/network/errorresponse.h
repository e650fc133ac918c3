#pragma once

#include "core/types/errorkind.h"
#include "core/types/time.h"
#include "network/ihttpserver.h"

#include <optional>
#include <string_view>

namespace mulberrysail::network {

/** What one error response tells beyond the row of its kind. */
struct ErrorDetails
{
  std::string_view m_detail = {};
  /** When to come back; for kinds with Retry::Later. */
  std::optional<core::Duration> m_retryAfter = std::nullopt;
  /** What is known of the work; the row's own if absent. */
  std::optional<core::Execution> m_execution = std::nullopt;
};

/** @return the response with the error body of docs/API.md. */
HttpResponse
MakeErrorResponse(core::ErrorKind aKind, const ErrorDetails& aDetails);

} // namespace mulberrysail::network
