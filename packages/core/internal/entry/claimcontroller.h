#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/**
 * Makes sure that a piece of work with a caller key runs at most once however
 * often, and through whichever entries, it is submitted. A submission that
 * the caller numbers as the first is placed without asking. For any other,
 * all agents at which an earlier one may have been placed are asked; each
 * that hasn't started one refuses it from then on.
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

  /** @return whether agents are asked first; else it may be placed now. */
  bool StartClaim(EntryEventContext& aContext, Submission& aSubmission);

  void OnReply(EntryEventContext& aContext,
               const ProcessId& aFrom,
               FenceReply aReply);
  void OnTimer(EntryEventContext& aContext, FenceId aFence);

  /** An agent that was asked, or might have been, is gone for good. */
  void OnAgentRemoved(EntryEventContext& aContext, const ProcessId& aAgent);

private:
  /** Agents that may have got an earlier submission of a key. */
  struct QueryTargets
  {
    std::vector<ProcessId> m_present;
    /** One of them has left, and what it knew is lost. */
    bool m_anyDeparted = false;
  };

  QueryTargets SelectAgentsToQuery(EntryEventContext& aContext,
                                   const std::string& aService) const;
  void SupersedeOlderSubmissions(EntryEventContext& aContext,
                                 const Submission& aNewer);
  void ResolveClaim(EntryEventContext& aContext, FenceId aFence);
  void FailAsUncertain(EntryEventContext& aContext,
                       FenceId aFence,
                       std::string aDetail);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
