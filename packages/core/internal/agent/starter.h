#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Starts what waits as soon as there is a slot or room for it. This is the
 * only place where a run is started. */
class Starter
{
public:
  explicit Starter(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void StartRequests();
  void StartTasks();

  /** Refuses what waits and has no endpoint or worker any more. */
  void RefuseStranded();

  /** Refuses what may not be started after @p aUpTo. */
  void RefuseExpired(Instant aUpTo);

private:
  bool StartFromJob(const JobQueue& aJob);
  bool StartOnWorker(Attempt& aAttempt);
  Worker* BestFit(const Attempt& aAttempt);
  void Start(Attempt& aAttempt, RunTarget aTarget);
  void RefuseRequests();
  void RefuseTasks();

  AgentBoard& m_board;
};

/** @return the slots of the endpoint that are free. */
std::uint32_t
FreeSlots(const AgentBoard& aBoard);

/** @return whether a worker that could hold the task gets work now or when it
 * has room. */
bool
HasWorkerFor(const AgentBoard& aBoard,
             const Offer& aOffer,
             const std::string& aAvoided);

} // namespace mulberrysail::core::agent
