#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <cstdint>
#include <string>

/** Which start of a worker an announcement or an answer comes from. */
namespace mulberrysail::core::agent {

/** Adds an announcement to the order of those of its worker.
 * @return false if it was sent before the last one that was received, or by an
 * incarnation that has ended, and so may state a capacity, labels or a
 * readiness that the worker no longer has. Also false if it lacks the clock
 * that its start has told before, so that its age is unknown, or if the agent
 * knows as many workers as it may. */
bool
RecordAnnounced(AgentBoard& aBoard, const WorkerAnnounced& aAnnounced);

/** @return whether the start of the worker that was announced last leaves. */
bool
IsLeaving(const AgentBoard& aBoard, const std::string& aWorker);

/** Notes that an incarnation of the worker has deregistered, also if the worker
 * isn't known. Announcements that tell their start may be of a later start of
 * that incarnation, which the deregistration doesn't concern. */
void
RecordDeregistered(AgentBoard& aBoard, const WorkerLeft& aLeft);

/** Removes the records of workers that expired long ago. */
void
RemoveOldAnnouncements(AgentBoard& aBoard);

/** @return whether the last announcement is from the start of the worker whose
 * runs are tracked, as far as the worker tells. If not, its capacity, service
 * and labels are unknown until the next announcement. */
bool
HasCurrentAnnouncement(const Worker& aWorker);

/** Notes that @p aIncarnation no longer exists, so that announcements of it
 * which are still in transit change nothing. */
void
RecordEnded(AgentBoard& aBoard,
            const Worker& aWorker,
            const std::string& aIncarnation);

/** Begins to number ends anew if the tracked incarnation has started again. The
 * next observation tells which of its runs have ended with the earlier start.
 * It has another fencing token, as the worker has lost its stopped runs.
 * Nothing starts on the worker before its next announcement. */
void
CheckRestart(AgentBoard& aBoard, Worker& aWorker, std::uint64_t aStartedAtMs);

} // namespace mulberrysail::core::agent
