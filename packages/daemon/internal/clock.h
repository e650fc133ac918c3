#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>

namespace mulberrysail::daemon {

/** @return the process's monotonic time. */
core::Instant
Now();

/** @return a number for a life that begins now; larger than those of lives
 * that began at least 256 microseconds earlier, and exact in a double. */
core::Incarnation
MakeIncarnation();

/** @return a random number. */
std::uint64_t
MakeRandomSeed();

/** @return the seed of one process's or shard's choices: from @p aSeed and its
 * name if there is one, else random. */
std::uint64_t
DeriveSeed(std::optional<std::uint64_t> aSeed, const core::ProcessId& aProcess);

} // namespace mulberrysail::daemon
