#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>
#include <vector>

namespace mulberrysail::core {

/** Chooses the agent for one item by the policy in the board. */
class Placement
{
public:
  explicit Placement(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /**
   * @param aCandidates the agents that may take it; null to consider all of
   * the service.
   * @return the agent to offer it to, or null if none has room now.
   */
  AgentRecord* PickForRequest(const Submission& aSubmission,
                              const WorkItem& aItem,
                              const std::vector<AgentRecord*>* aCandidates);

  /** @return the agent to offer a task to, or null if none has room now. */
  AgentRecord* PickForTask(const Submission& aJob, const WorkItem& aItem);

  /** @return all that could take a request, in random order, at most
   * @p aCount. */
  std::vector<AgentRecord*> Sample(const std::vector<AgentRecord*>& aAgents,
                                   std::size_t aCount);

  /** @return of @p aCandidates the one with the least load, whether it has
   * room or not; null if none serves the service. */
  AgentRecord* LeastLoaded(const Submission& aSubmission,
                           const WorkItem& aItem,
                           const std::vector<AgentRecord*>& aCandidates);

private:
  /** Load of an agent as last reported, with our own later offers on top. */
  struct PredictedLoad
  {
    std::int64_t m_freeSlots = 0;
    std::int64_t m_queued = 0;
    Duration m_queuedWork{};
  };

  static PredictedLoad Predict(const AgentRecord& aAgent, WorkKind aKind);
  bool HasCapacity(const AgentRecord& aAgent) const;
  double RequestScore(const AgentRecord& aAgent,
                      const ServiceState& aService,
                      const WorkItem& aItem);
  double TaskScore(const AgentRecord& aAgent,
                   const Submission& aJob,
                   const WorkItem& aItem);

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
