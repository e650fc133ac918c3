#pragma once

#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/** Learns run times and the speed of agents from completed runs. */
class RunTimeLearner
{
public:
  explicit RunTimeLearner(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Learns from a completed item, which ran at @p aAgent. */
  void Learn(EntryEventContext& aContext,
             AgentRecord& aAgent,
             const Submission& aSubmission,
             const WorkItem& aItem);

private:
  /** Learns the speed of @p aAgent from a completed task of a queue. */
  void LearnTaskSpeed(EntryEventContext& aContext,
                      AgentRecord& aAgent,
                      const Submission& aJob,
                      const WorkItem& aItem);

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
