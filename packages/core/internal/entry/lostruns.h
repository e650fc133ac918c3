#pragma once

#include "core/internal/entry/entryboard.h"

#include <string>

namespace mulberrysail::core {

/** @return the name under which the lost runs of an item are recorded: the
 * caller's name for the task, or the key of a request; may be empty. */
const std::string&
NameOf(const Submission& aSubmission, const WorkItem& aItem);

/** @return whether the item may not be started again, because it has lost
 * EntryPolicy::m_maxLostRuns runs in crashes, here or at other entries, or some
 * more in other ways, or because its lost runs show that it crashes workers. */
bool
MustGiveUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem);

/** @return the error kind for an item that is given up: RunLost unless several
 * workers are known to have crashed under it. */
ErrorKind
KindOfGivenUp(const EntryBoard& aBoard,
              const Submission& aSubmission,
              const WorkItem& aItem);

/** @return whether a task may run only on the workers of agents with
 * AgentRecord::m_takesIsolated: its queue is isolated, or a lost run of it may
 * have crashed its worker. False if none of these workers can run it. */
bool
MustIsolate(const EntryBoard& aBoard,
            const Submission& aJob,
            const WorkItem& aTask);

/** @return whether all tasks of a job are isolated, see MustIsolate(). */
bool
IsIsolated(const EntryBoard& aBoard, const Submission& aJob);

/** @return how the runs of an item that is given up were lost. */
std::string
WhyGivenUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem);

} // namespace mulberrysail::core
