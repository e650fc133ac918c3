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
  bool Begin(EntryTurn& aTurn, Submission& aSubmission);

  void OnReply(EntryTurn& aTurn, const ProcessId& aFrom, FenceReply aReply);
  void OnTimer(EntryTurn& aTurn, FenceId aFence);

  /** An agent that was asked, or might have been, is gone for good. */
  void OnAgentGone(EntryTurn& aTurn, const ProcessId& aAgent);

private:
  /** Agents that may have got an earlier submission of a key. */
  struct AskedSet
  {
    std::vector<ProcessId> m_present;
    /** One of them has left, and what it knew is lost. */
    bool m_anyDeparted = false;
  };

  AskedSet WhomToAsk(EntryTurn& aTurn, const std::string& aService) const;
  void SupersedeOwn(EntryTurn& aTurn, const Submission& aNewer);
  void Settle(EntryTurn& aTurn, FenceId aFence);
  void Uncertain(EntryTurn& aTurn, FenceId aFence, std::string aDetail);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
};

} // namespace mulberrysail::core
