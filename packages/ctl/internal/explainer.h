#pragma once

#include "ctl/internal/command.h"
#include "ctl/internal/exitcode.h"

#include <iosfwd>

namespace mulberrysail::ctl {

/**
 * Prints the lines of one id and of its tasks in the order of their times, and
 * between them, marked with *, what the processes concerned said of themselves
 * and of others meanwhile: lost peers and stores, drains, lines left out. If no
 * answer was given, the next start of each of them follows.
 * @return NotRun if no line names the id.
 */
ExitCode
Explain(const ExplainCommand& aCommand,
        std::ostream& aOut,
        std::ostream& aErrors);

} // namespace mulberrysail::ctl
