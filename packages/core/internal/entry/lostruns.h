#pragma once

#include "core/internal/entry/entryboard.h"

#include <string>

namespace mulberrysail::core {

/** @return the name under which the lost runs of an item are recorded: the
 * caller's name for the task, or the key of a request; may be empty. */
const std::string&
NameOf(const Submission& aSubmission, const WorkItem& aItem);

/** @return whether the item may not be started again, because it has lost
 * EntryPolicy::m_maxLostRuns runs, here or at other entries, or because its
 * lost runs show that it crashes workers. */
bool
MustGiveUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem);

/** @return how the runs of an item that is given up were lost. */
std::string
WhyGivenUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem);

} // namespace mulberrysail::core
