#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/placement.h"

#include <map>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** Keeps what waits in order and offers it to agents that have room. */
class DispatchController
{
public:
  DispatchController(EntryBoard& aBoard, AnswerController& aAnswers)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_placement(aBoard)
  {
  }

  /** Puts a request into its queue, for the first time or again. */
  void Enqueue(EntryEventContext& aContext, WorkRef aWork);

  /** Puts the tasks of a job that wait for no other one into their queue. */
  void EnqueueJob(EntryEventContext& aContext, Submission& aJob);

  /** Puts the tasks into their queue that may start now that one of step
   * @p aStep is done. */
  void EnqueueUnblocked(EntryEventContext& aContext,
                        Submission& aJob,
                        std::uint32_t aStep);

  /** Offers the requests that wait for @p aService, as far as there is
   * room. */
  void DispatchRequests(EntryEventContext& aContext,
                        const std::string& aService);

  /** Offers the tasks that wait, as far as there is room. */
  void DispatchTasks(EntryEventContext& aContext);

  /** Offers whatever waits. */
  void DispatchAll(EntryEventContext& aContext);

  /** Sends the offers of this turn, in one message an agent. */
  void FlushOffers(EntryEventContext& aContext);

  void OnStartBy(EntryEventContext& aContext, WorkRef aWork);
  void OnProbeReply(EntryEventContext& aContext, const ProcessId& aAgent);
  void OnProbeTimer(EntryEventContext& aContext, WorkRef aWork);

  /** Counts out offers that @p aLoad reflects, and takes the load over. */
  static void ApplyLoad(const EntryEventContext& aContext,
                        AgentRecord& aAgent,
                        const LoadReport& aLoad);

  /** @return the last instant at which a start of a queue's task is still of
   * use to the caller. */
  static Instant LatestUsefulStart(const EntryEventContext& aContext,
                                   const Submission& aSubmission,
                                   const WorkItem& aItem);

private:
  enum class PlacementResult : std::uint8_t
  {
    Offered,
    Probing,
    NoCapacity,
  };

  void Dispatch(EntryEventContext& aContext, WaitQueue& aQueue);
  /** Subscribes to news of room at the agents, while work waits for it. */
  void SubscribeToCapacity(EntryEventContext& aContext,
                           WaitPool& aPool,
                           const std::vector<AgentRecord*>& aAgents);
  PlacementResult TryPlace(EntryEventContext& aContext, const WaitKey& aKey);
  void AddOffer(EntryEventContext& aContext,
                Submission& aSubmission,
                std::uint32_t aIndex,
                AgentRecord& aAgent);
  void StartProbe(EntryEventContext& aContext,
                  Submission& aSubmission,
                  std::uint32_t aIndex,
                  std::uint32_t aProbes);
  void FinishProbe(EntryEventContext& aContext, std::size_t aProbe);
  std::int64_t ComputeOrder(EntryEventContext& aContext,
                            const Submission& aSubmission,
                            Duration aLength,
                            Duration aWork);
  void ArmHeartbeat(EntryEventContext& aContext);
  /** Puts tasks into their queue, the longest first. */
  void EnqueueLongestFirst(EntryEventContext& aContext,
                           Submission& aJob,
                           std::vector<std::uint32_t> aItems,
                           std::int64_t aOrder);
  void InsertIntoQueue(EntryEventContext& aContext,
                       Submission& aSubmission,
                       std::uint32_t aIndex,
                       std::int64_t aOrder);

  EntryBoard& m_board;
  AnswerController& m_answers;
  Placement m_placement;
  /** What was placed of one submission in this turn, for the log. */
  struct PlacedTasks
  {
    std::size_t m_tasks = 0;
    /** Their agents, in the order of the tasks. */
    std::string m_agents;
    Duration m_oldestLoad{};
  };

  std::map<ProcessId, OfferBatch> m_pendingOffers;
  std::map<SubmissionId, PlacedTasks> m_placedTasks;
};

/**
 * @return the agents among which a submission with a caller key is placed: the
 * best by rendezvous hashing of those that serve its service now and did when
 * it was admitted. One that came later may not have been asked by whoever
 * claimed the key since.
 */
std::vector<AgentRecord*>
KeyCandidates(EntryBoard& aBoard, const Submission& aSubmission);

} // namespace mulberrysail::core
