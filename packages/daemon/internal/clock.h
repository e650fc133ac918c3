#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>

namespace mulberrysail::daemon {

/** @return the monotonic time of the machine, which includes time in suspend.
 */
core::Instant
Now();

/** @return an incarnation number for a process that starts now. It is
 * based on the wall clock: larger than any number made at least 256
 * microseconds earlier, unless the clock was set back. A double can represent
 * it without loss. */
core::Incarnation
MakeIncarnation();

/** @return a seed from the system's source of randomness. */
std::uint64_t
MakeRandomSeed();

/** @return the seed for the random choices of one process or shard: derived
 * from @p aSeed and the name in @p aProcess if @p aSeed is set, else random. */
std::uint64_t
DeriveSeed(std::optional<std::uint64_t> aSeed, const core::ProcessId& aProcess);

} // namespace mulberrysail::daemon
