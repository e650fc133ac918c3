#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/**
 * Ensures that work with a caller key runs at most once, however often and
 * through whichever entries it is submitted. A submission that the caller
 * numbers as the first is dispatched without a query. For any later submission,
 * all agents to which an earlier one may have been offered are queried. An
 * agent that has not started the earlier submission refuses it after the query.
 * Repeatable work is not claimed.
 */
class ClaimController
{
public:
  ClaimController(EntryBoard& aBoard,
                  AnswerController& aAnswers,
                  DispatchController& aDispatch)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_dispatch(aDispatch)
  {
  }

  /** @return true if a claim was started, and the submission must not be placed
   * until it is resolved; false if it may be placed now. */
  bool StartClaim(EntryEventContext& aContext, Submission& aSubmission);

  void OnReply(EntryEventContext& aContext,
               const ProcessId& aFrom,
               FenceReply aReply);
  void OnReplyTimeout(EntryEventContext& aContext, FenceId aFence);

  /** Fails all claims that wait for a reply from @p aAgent, which was removed
   * or could not be sent the query. */
  void FailClaimsPendingOn(EntryEventContext& aContext,
                           const ProcessId& aAgent);

private:
  /** Agents that may have received an earlier submission of a key. */
  struct QueryTargets
  {
    std::vector<ProcessId> m_present;
    /** True if an agent that may hold the key was removed within the key
     * retention, or if this entry does not know all removals in that time. */
    bool m_anyDeparted = false;
  };

  QueryTargets SelectAgentsToQuery(EntryEventContext& aContext,
                                   const std::string& aService) const;
  /** Fails older submissions of the same key that still wait at this entry. */
  void SupersedeOlderSubmissions(EntryEventContext& aContext,
                                 const Submission& aNewer);
  /** Places the submission, or fails it, once all replies have arrived. */
  void ResolveClaim(EntryEventContext& aContext, FenceId aFence);
  void FailAsUncertain(EntryEventContext& aContext,
                       FenceId aFence,
                       std::string aDetail);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
