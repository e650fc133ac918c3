#pragma once

#include "ctl/internal/command.h"

#include <optional>
#include <string>

namespace mulberrysail::ctl {

/** A call of the HTTP API, without the process that it goes to. */
struct ApiCall
{
  std::string m_method = "GET";
  std::string m_path;
  std::string m_body;
  /** It starts work or writes, so no answer means that it may have. */
  bool m_changes = false;
};

/** @return the call behind a command; nothing if it is not one call. */
std::optional<ApiCall>
MakeApiCall(const Command& aCommand);

} // namespace mulberrysail::ctl
