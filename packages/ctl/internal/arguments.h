#pragma once

#include "core/types/result.h"
#include "ctl/internal/command.h"

#include <span>
#include <string>
#include <string_view>

namespace mulberrysail::ctl {

/**
 * Reads a command line, and the files named on it.
 * @param aArguments without the name of the program.
 * @return what to do; MalformedRequest, with the fault in words, if the
 * command line can't be understood.
 */
core::Result<Invocation>
ParseArguments(std::span<const std::string> aArguments);

/** @return the help of the whole program. */
std::string
HelpText();

} // namespace mulberrysail::ctl
