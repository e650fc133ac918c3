#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Starts queued attempts as soon as a slot or worker capacity is free for
 * them. No other class starts runs. */
class Starter
{
public:
  explicit Starter(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void StartRequests();
  void StartTasks();

  /** Sends the start of a leased run again. The worker starts a run once,
   * however often it is told to. */
  void SendAgain(Attempt& aAttempt,
                 RunTarget aTarget,
                 std::optional<WorkerInstant> aLeaseEndsAt);

  /** Refuses queued attempts without an endpoint or suitable worker, and all
   * queued attempts while the agent is draining or its zone is drained. */
  void RefuseUnservable();

  /** Refuses the queued attempts that expire at or before @p aUpTo. */
  void RefuseExpired(Instant aUpTo);

private:
  /** Starts one task of the job. @return whether a task was started. */
  bool StartFromJob(const JobQueue& aJob);
  bool StartOnWorker(Attempt& aAttempt);
  /** @return a worker that isn't warming up, if one fits, with the fewest
   * failures, then with the least capacity left over; null if none fits. */
  Worker* BestFit(const Attempt& aAttempt);
  /** @param aLeaseEndsAt see StartRun. */
  void Start(Attempt& aAttempt,
             RunTarget aTarget,
             std::optional<WorkerInstant> aLeaseEndsAt);
  void RecordStart(const Attempt& aAttempt, const RunTarget& aTarget);
  /** Counts @p aQueued attempts as refused if the agent's zone is drained. */
  void CountDrainRefusals(std::size_t aQueued);
  void RefuseRequests();
  void RefuseTasks();

  AgentBoard& m_board;
};

/** @return the free slots of the endpoint. */
std::uint32_t
FreeSlots(const AgentBoard& aBoard);

/** @return whether a live worker other than @p aAvoided, whose breaker isn't
 * open, can run the task now or when enough of its capacity is free. */
bool
HasWorkerFor(const AgentBoard& aBoard,
             const Offer& aOffer,
             const std::string& aAvoided);

/** @return why no worker can run the task of @p aOffer now, QueueFull if a
 * worker could with the capacity that it had before, Unsatisfiable if none
 * could, NoEndpoint if none is live. */
ErrorKind
WhyNoWorkerFor(const AgentBoard& aBoard, const Offer& aOffer);

} // namespace mulberrysail::core::agent
