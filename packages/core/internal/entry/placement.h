#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>
#include <vector>

namespace mulberrysail::core {

/** Free capacity for tasks as last reported, less the offers made since;
 * negative if more was offered. */
struct FreeCapacity
{
  std::int64_t m_milliCores = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;

  bool Fits(const Resources& aNeed) const
  {
    return m_milliCores >= aNeed.m_milliCores &&
           m_memoryMb >= aNeed.m_memoryMb &&
           m_accelerators >= aNeed.m_accelerators;
  }
};

/** Chooses the agent for an item by the placement policy of the board. */
class Placement
{
public:
  explicit Placement(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /**
   * @param aCandidates the agents to choose from; null for all agents of the
   * service.
   * @return the agent to offer the request to, or null if none has free
   * capacity.
   */
  AgentRecord* PickForRequest(const Submission& aSubmission,
                              const WorkItem& aItem,
                              const std::vector<AgentRecord*>* aCandidates);

  /** @return the agent to offer a task to, or null if none has free
   * capacity. */
  AgentRecord* PickForTask(const Submission& aJob,
                           const WorkItem& aItem,
                           Instant aNow);

  /** @return the most of each resource that any agent has free. A task that
   * does not fit can be placed only in the queue of an agent. */
  FreeCapacity LargestFreeCapacity(const std::vector<AgentRecord*>& aAgents);

  /** @return at most @p aCount random reachable agents of @p aAgents, those of
   * the entry's zone first; may contain duplicates as Sample. */
  std::vector<AgentRecord*> SampleNearest(
    const std::vector<AgentRecord*>& aAgents,
    std::size_t aCount);

  /** @return at most @p aCount random agents of @p aAgents; may contain
   * duplicates if @p aAgents is much larger. */
  std::vector<AgentRecord*> Sample(const std::vector<AgentRecord*>& aAgents,
                                   std::size_t aCount);

  /** @return the least loaded agent of @p aCandidates, with or without free
   * capacity; null if none serves the service. */
  AgentRecord* LeastLoaded(const Submission& aSubmission,
                           const WorkItem& aItem,
                           const std::vector<AgentRecord*>& aCandidates);

private:
  /** @return whether agents in the entry's zone are preferred. */
  bool PrefersOwnZone() const;

  /** Load of an agent as last reported, plus the offers that this entry has
   * made since. */
  struct PredictedLoad
  {
    std::int64_t m_freeSlots = 0;
    std::int64_t m_queued = 0;
    Duration m_queuedWork{};
  };

  struct ScoredAgent
  {
    AgentRecord* m_agent = nullptr;
    double m_score = 0;
  };

  /** @return the agent with the lowest TaskScore(); null if none can be offered
   * the task. */
  ScoredAgent BestForTask(const Submission& aJob,
                          const WorkItem& aItem,
                          const std::vector<AgentRecord*>& aAgents,
                          Instant aNow);

  static PredictedLoad Predict(const AgentRecord& aAgent, WorkKind aKind);
  bool HasCapacity(const AgentRecord& aAgent) const;
  /** @return expected time in microseconds until the request is done at
   * @p aAgent, with random noise to break ties; lower is better. */
  double RequestScore(const AgentRecord& aAgent,
                      const ServiceState& aService,
                      const WorkItem& aItem);
  /** @return a score without unit, lower is better; infinity if the agent
   * cannot be offered the task. */
  double TaskScore(const AgentRecord& aAgent,
                   const Submission& aJob,
                   const WorkItem& aItem,
                   Instant aNow);
  /** @return the part of TaskScore that depends on the learned speed of
   * @p aAgent; 0 if task speeds are not learned. */
  double SpeedScore(const AgentRecord& aAgent,
                    const Submission& aJob,
                    const WorkItem& aItem,
                    Instant aNow) const;

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
