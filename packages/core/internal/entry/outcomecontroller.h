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
  /** An agent with open attempts is silent: what is hopeless is answered, and
   * what must have ended by now is placed again. */
  void OnSilentAttempts(EntryTurn& aTurn, AgentRecord& aAgent);

  void OnAgentGone(EntryTurn& aTurn, AgentRecord& aAgent);

private:
  void OnReport(EntryTurn& aTurn, AgentRecord& aAgent, AttemptReport aReport);
  /** Notes that an attempt ran and failed. @return whether its task may start
   * once more. */
  bool MayStartAgain(EntryTurn& aTurn, WorkRef aWork);
  void OnInterrupted(EntryTurn& aTurn,
                     const AgentRecord& aAgent,
                     WorkRef aWork);
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
