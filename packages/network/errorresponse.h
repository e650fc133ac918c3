#pragma once

#include "core/types/errorkind.h"
#include "core/types/time.h"
#include "network/ihttpserver.h"

#include <optional>
#include <string_view>

namespace mulberrysail::network {

/** Details of one error response that the table of error kinds does not hold.
 */
struct ErrorDetails
{
  std::string_view m_detail = {};
  /** Delay before the caller should retry. Ignored unless the kind has
   * Retry::Later. */
  std::optional<core::Duration> m_retryAfter = std::nullopt;
  /** Whether the work was executed. Defaults to the value in the error kind's
   * row. */
  std::optional<core::Execution> m_execution = std::nullopt;
};

/** @return the response for an error, with the JSON body that docs/API.md
 * describes. */
HttpResponse
MakeErrorResponse(core::ErrorKind aKind, const ErrorDetails& aDetails);

} // namespace mulberrysail::network
