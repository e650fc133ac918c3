#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <cstdint>
#include <string>

/** Which start of a worker an announcement or an answer comes from. */
namespace mulberrysail::core::agent {

/** @return whether the announcement was sent before the last one that was
 * received, or by an incarnation that has ended, and so may state a capacity or
 * labels that the worker no longer has. */
bool
IsOutdated(const Worker& aWorker, const WorkerAnnounced& aAnnounced);

/** @return whether the last announcement is from the start of the worker whose
 * runs are tracked, as far as the worker tells. If not, its capacity, service
 * and labels are unknown until the next announcement. */
bool
HasCurrentAnnouncement(const Worker& aWorker);

/** Notes that @p aIncarnation no longer exists, so that announcements of it
 * which are still in transit change nothing. */
void
RecordEnded(Worker& aWorker, const std::string& aIncarnation);

/** Begins to number ends anew if the tracked incarnation has started again. The
 * next observation tells which of its runs have ended with the earlier start.
 * It has another fencing token, as the worker has lost its stopped runs.
 * Nothing starts on the worker before its next announcement. */
void
CheckRestart(AgentBoard& aBoard, Worker& aWorker, std::uint64_t aStartedAtMs);

} // namespace mulberrysail::core::agent
