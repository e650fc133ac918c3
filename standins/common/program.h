#pragma once

#include "network/ihttpserver.h"
#include "standins/common/flags.h"

#include <cstdint>
#include <functional>
#include <string>

namespace mulberrysail::standins {

/** Adds the flags that tell where a stand-in listens and what it announces. */
void
AddListenFlags(Flags& aFlags);

/** Adds the flags of the stand-ins that run work. */
void
AddRunFlags(Flags& aFlags, std::uint32_t aAnnounceMs);

/** @return where to listen, from the flags. */
network::HttpServerOptions
ListenOptions(const Flags& aFlags);

/** @return the URL to announce: that of --announce-url, or its own. */
std::string
OwnUrl(const Flags& aFlags, std::uint16_t aPort);

/** Reads the command line and serves until told to end.
 * @return the exit code of the program. */
int
RunProgram(Flags& aFlags,
           int aArgc,
           char** aArgv,
           const std::function<void(const Flags&)>& aServe);

} // namespace mulberrysail::standins
