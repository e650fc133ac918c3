#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/offerbatches.h"
#include "core/internal/entry/placement.h"

#include <string>
#include <vector>

namespace mulberrysail::core {

/** Queues waiting items in order and offers them to agents with free
 * capacity. */
class DispatchController
{
public:
  DispatchController(EntryBoard& aBoard, AnswerController& aAnswers)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_placement(aBoard)
    , m_offers(aBoard)
  {
  }

  /** Puts a request or task into its queue, for the first time or after a
   * refusal. */
  void Enqueue(EntryEventContext& aContext, WorkRef aWork);

  /** Puts the tasks of a job without unfinished earlier steps into their
   * queue. */
  void EnqueueJob(EntryEventContext& aContext, Submission& aJob);

  /** Puts the tasks into their queue that have become ready because a task of
   * step @p aStep is done. */
  void EnqueueUnblocked(EntryEventContext& aContext,
                        Submission& aJob,
                        std::uint32_t aStep);

  /** Offers the requests that wait for @p aService, as far as there is free
   * capacity. */
  void DispatchRequests(EntryEventContext& aContext,
                        const std::string& aService);

  /** Offers the waiting tasks, as far as there is free capacity. */
  void DispatchTasks(EntryEventContext& aContext);

  /** Offers all waiting requests and tasks. */
  void DispatchAll(EntryEventContext& aContext);

  /** Sends the offers made in this event context, one message per agent. */
  void FlushOffers(EntryEventContext& aContext);

  /** Fails an item that waits past its latest useful start, or moves it to the
   * head of the queue shortly before. */
  void OnStartBy(EntryEventContext& aContext, WorkRef aWork);
  void OnProbeReply(EntryEventContext& aContext, const ProcessId& aAgent);
  void OnProbeTimer(EntryEventContext& aContext, WorkRef aWork);

  /** Stores @p aLoad unless a newer report was received, and drops the
   * unreflected offers that it includes. */
  static void ApplyLoad(const EntryEventContext& aContext,
                        AgentRecord& aAgent,
                        const LoadReport& aLoad);

  /** @return the latest instant at which starting a task of a queue's job is
   * still useful to the caller. */
  static Instant LatestUsefulStart(const EntryEventContext& aContext,
                                   const Submission& aSubmission,
                                   const WorkItem& aItem);

private:
  enum class PlacementResult : std::uint8_t
  {
    Offered,
    Probing,
    /** The item must not be started again; its submission has failed. */
    GivenUp,
    NoCapacity,
  };

  void Dispatch(EntryEventContext& aContext, WaitPool& aPool);
  /** Subscribes to notifications of free capacity at some of @p aAgents, while
   * items wait in @p aPool. */
  void SubscribeToCapacity(EntryEventContext& aContext,
                           WaitPool& aPool,
                           const std::vector<AgentRecord*>& aAgents);
  bool IsAnyWaiting() const;
  /** Chooses an agent for a waiting item and offers the item to it. */
  PlacementResult TryPlace(EntryEventContext& aContext, const WaitKey& aKey);
  void StartProbe(EntryEventContext& aContext,
                  Submission& aSubmission,
                  std::uint32_t aIndex,
                  std::uint32_t aProbes);
  void FinishProbe(EntryEventContext& aContext, std::size_t aProbe);
  /** Charges @p aWork to the team and computes the order of an item or job.
   * @param aLength the run time used as sort criterion.
   * @param aWork total expected run time of the item or job. */
  std::int64_t ComputeOrder(EntryEventContext& aContext,
                            const Submission& aSubmission,
                            Duration aLength,
                            Duration aWork);
  /** Puts tasks into their queue, longest expected run time first. */
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
  OfferBatches m_offers;
};

/**
 * @return the agents to which a submission with a caller key may be offered:
 * those that rank highest by rendezvous hashing among the agents that serve the
 * service now and already did when the submission was admitted. Agents that
 * joined later are excluded: another entry that claimed the key in the meantime
 * may not have known them and so not have queried them.
 */
std::vector<AgentRecord*>
KeyCandidates(EntryBoard& aBoard, const Submission& aSubmission);

} // namespace mulberrysail::core
