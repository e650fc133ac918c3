#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/** Takes what agents report of attempts, and settles attempts of which
 * nothing is reported. */
class OutcomeController
{
public:
  OutcomeController(EntryBoard& aBoard,
                    AnswerController& aAnswers,
                    DispatchController& aDispatch)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_dispatch(aDispatch)
  {
  }

  void OnReports(EntryEventContext& aContext,
                 const ProcessId& aFrom,
                 ReportBatch aBatch);

  /** Offers that never left this process: nobody has started them. */
  void OnOffersNotSent(EntryEventContext& aContext, const OfferBatch& aBatch);

  void OnOverdue(EntryEventContext& aContext, AttemptId aAttempt);

  /** Asks @p aAgent for the fate of all attempts that are open there. */
  void ReconcileOpenAttempts(EntryEventContext& aContext,
                             const AgentRecord& aAgent);

  /** The agent can't be reached now. Repeatable work is placed again. */
  void OnAgentUnreachable(EntryEventContext& aContext, AgentRecord& aAgent);

  /** The agent's life is over: open attempts there may have run. */
  /** An agent with open attempts is silent: what is hopeless is answered, and
   * what must have ended by now is placed again. */
  void OnAgentUnresponsive(EntryEventContext& aContext, AgentRecord& aAgent);

  void OnAgentRemoved(EntryEventContext& aContext, AgentRecord& aAgent);

private:
  void OnReport(EntryEventContext& aContext,
                AgentRecord& aAgent,
                AttemptReport aReport);
  /** Notes that an attempt ran and failed. @return whether its task may start
   * once more. */
  bool RecordFailure(EntryEventContext& aContext, WorkRef aWork);
  void OnInterrupted(EntryEventContext& aContext,
                     const AgentRecord& aAgent,
                     WorkRef aWork);
  void RetryItem(EntryEventContext& aContext, WorkRef aWork, ErrorKind aKind);
  void OnCompleted(EntryEventContext& aContext,
                   AgentRecord& aAgent,
                   WorkRef aWork,
                   AttemptReport& aReport);
  void OnOutcomeUnknown(EntryEventContext& aContext,
                        WorkRef aWork,
                        ErrorKind aKind);
  /** Ends the open attempt of an item. @return the item, or null if the
   * attempt is not open at @p aAgent. */
  WorkItem* CloseAttempt(AgentRecord& aAgent,
                         AttemptId aAttempt,
                         WorkRef& aWork);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
