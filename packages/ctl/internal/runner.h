#pragma once

#include "ctl/internal/command.h"
#include "ctl/internal/exitcode.h"
#include "network/ihttpclient.h"

#include <iosfwd>

namespace mulberrysail::ctl {

/**
 * Carries out one command line.
 * @param aOut gets the answer.
 * @param aErrors gets what went wrong, in lines for people.
 */
ExitCode
Run(const Invocation& aInvocation,
    network::IHttpClient& aClient,
    std::ostream& aOut,
    std::ostream& aErrors);

} // namespace mulberrysail::ctl
