#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

namespace mulberrysail::daemon {

/** @return the process's monotonic time. */
core::Instant
Now();

/** @return a number for a life that begins now; larger than those of lives
 * that began at least 256 microseconds earlier, and exact in a double. */
core::Incarnation
MakeIncarnation();

/** @return a random seed. */
std::uint64_t
MakeSeed();

} // namespace mulberrysail::daemon
