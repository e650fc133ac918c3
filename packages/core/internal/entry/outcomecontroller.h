#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/** Handles reports of agents on attempts, and resolves attempts that are not
 * reported on. */
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

  /** Retries offers that were never sent; no agent can have started them. */
  void OnOffersNotSent(EntryEventContext& aContext, const OfferBatch& aBatch);

  /** Queries the agent of an attempt for its fate, if the attempt is open. */
  void OnOverdue(EntryEventContext& aContext, AttemptId aAttempt);

  /** Queries @p aAgent for the fate of all its open attempts. */
  void ReconcileOpenAttempts(EntryEventContext& aContext,
                             const AgentRecord& aAgent);

  /** Marks @p aAgent unreachable and closes its open attempts of repeatable
   * requests. These are retried as far as the retry budget allows, and fail
   * otherwise. */
  void OnAgentUnreachable(EntryEventContext& aContext, AgentRecord& aAgent);

  /** Handles the open attempts of queue jobs at an unresponsive agent. Jobs
   * that cannot be retried before their deadline fail; attempts whose runs must
   * have ended by now are retried. */
  void OnAgentUnresponsive(EntryEventContext& aContext, AgentRecord& aAgent);

  /** Closes the open attempts of a removed agent. They may have run, so only
   * repeatable requests are retried, as far as the retry budget allows; other
   * submissions fail. */
  void OnAgentRemoved(EntryEventContext& aContext, AgentRecord& aAgent);

private:
  void OnReport(EntryEventContext& aContext,
                AgentRecord& aAgent,
                const LoadReport& aLoad,
                AttemptReport aReport);
  /** @return whether the refusal may be due to the drain of a zone that has
   * ended since, so that the agent may accept work again. */
  bool MayBeLateRefusalForDrain(const AgentRecord& aAgent,
                                ErrorKind aKind) const;
  /** Enqueues an item that was refused because its agent's zone is drained. The
   * refusal doesn't count as a retry. */
  void ReturnItem(EntryEventContext& aContext, WorkRef aWork);
  static void RecordRetry(EntryEventContext& aContext,
                          const Submission& aSubmission,
                          const WorkItem& aItem,
                          ErrorKind aKind);
  /** Counts an attempt that ran and failed.
   * @return whether the task may be retried. */
  bool RecordFailureAndCheckRetry(EntryEventContext& aContext, WorkRef aWork);
  void OnInterrupted(EntryEventContext& aContext,
                     const AgentRecord& aAgent,
                     WorkRef aWork);
  /** Enqueues an item again, or fails its submission if no retry can help.
   * @param aKind why the last attempt did not succeed. */
  void RetryItem(EntryEventContext& aContext, WorkRef aWork, ErrorKind aKind);
  void OnCompleted(EntryEventContext& aContext,
                   AgentRecord& aAgent,
                   WorkRef aWork,
                   AttemptReport& aReport);
  void RecordLostRun(const EntryEventContext& aContext,
                     const Submission& aSubmission,
                     WorkItem& aItem,
                     const AgentRecord& aAgent);
  void OnOutcomeUnknown(EntryEventContext& aContext,
                        const AgentRecord& aAgent,
                        WorkRef aWork,
                        ErrorKind aKind);
  /** Closes an attempt that is open at @p aAgent.
   * @param aWork receives the reference to the item.
   * @return the item, or null if the attempt is not open at @p aAgent. */
  WorkItem* CloseAttempt(AgentRecord& aAgent,
                         AttemptId aAttempt,
                         WorkRef& aWork);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
