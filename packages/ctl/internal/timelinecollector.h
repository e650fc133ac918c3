#pragma once

#include "ctl/internal/apiclient.h"
#include "ctl/internal/exitcode.h"

#include <iosfwd>
#include <span>
#include <string>

namespace mulberrysail::ctl {

/**
 * Prints the events of the entries named and of all agents that they know, in
 * one order.
 * @return CantConnect if a process gave no answer; what came is printed.
 */
ExitCode
PrintTimeline(const TimelineCommand& aCommand,
              std::span<const std::string> aEntries,
              ApiClient& aClient,
              std::ostream& aOut,
              std::ostream& aErrors);

} // namespace mulberrysail::ctl
