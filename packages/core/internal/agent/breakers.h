#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Circuit breakers: stop sending tasks to workers whose runs fail. */
class Breakers
{
public:
  explicit Breakers(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  void RecordSuccess(Worker& aWorker);

  /** @param aAttempt the attempt that failed or was lost on @p aWorker. */
  void RecordFailureAndCheckRetry(Worker& aWorker, const Attempt& aAttempt);

  /** Records that @p aWorker answered a start. It shows that starts arrive, but
   * nothing of runs. */
  void RecordAnsweredStart(Worker& aWorker);

  /** Records a start without an answer. It may be lost on its way, so it isn't
   * counted as a failed run. Only a long row of them opens the breaker, and for
   * a short time. */
  void RecordUnansweredStart(Worker& aWorker);

  /** Uses workers although their runs fail, for @p aFor from now. */
  void TolerateFailures(Duration aFor);

  /** Changes workers whose pause is over, or whose failures are no longer
   * tolerated, to Probing. */
  void EnterProbing();

  /** @return when EnterProbing() is due for @p aWorker; Instant::max() for
   * never. */
  static Instant NextDue(const AgentBoard& aBoard, const Worker& aWorker);

private:
  void Open(Worker& aWorker);
  void Tolerate(Worker& aWorker);
  void OpenFor(Worker& aWorker, Duration aPause, std::uint32_t aFailures);
  void Close(Worker& aWorker);

  AgentBoard& m_board;
};

} // namespace mulberrysail::core::agent
