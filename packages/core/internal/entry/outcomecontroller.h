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

  void OnReports(EntryTurn& aTurn, const ProcessId& aFrom, ReportBatch aBatch);

  /** Offers that never left this process: nobody has started them. */
  void OnOffersNotSent(EntryTurn& aTurn, const OfferBatch& aBatch);

  void OnOverdue(EntryTurn& aTurn, AttemptId aAttempt);

  /** Asks @p aAgent for the fate of all attempts that are open there. */
  void AskForAll(EntryTurn& aTurn, const AgentRecord& aAgent);

  /** The agent can't be reached now. Repeatable work is placed again. */
  void OnAgentSilent(EntryTurn& aTurn, AgentRecord& aAgent);

  /** The agent's life is over: open attempts there may have run. */
  void OnAgentGone(EntryTurn& aTurn, AgentRecord& aAgent);

private:
  void OnReport(EntryTurn& aTurn, AgentRecord& aAgent, AttemptReport aReport);
  void PlaceAgain(EntryTurn& aTurn, WorkRef aWork, ErrorKind aKind);
  void OnDone(EntryTurn& aTurn,
              AgentRecord& aAgent,
              WorkRef aWork,
              AttemptReport& aReport);
  void OnUncertain(EntryTurn& aTurn, WorkRef aWork, ErrorKind aKind);
  /** Ends the open attempt of an item. @return the item, or null if the
   * attempt is not open at @p aAgent. */
  WorkItem* Close(AgentRecord& aAgent, AttemptId aAttempt, WorkRef& aWork);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
