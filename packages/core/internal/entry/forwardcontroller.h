#pragma once

#include "core/internal/entry/admissioncontroller.h"
#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/types/events.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::core {

/** Passes a share of the arriving jobs to peers with free processor time, and
 * answers the callers of these jobs. */
class ForwardController
{
public:
  ForwardController(EntryBoard& aBoard,
                    AnswerController& aAnswers,
                    AdmissionController& aAdmission)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_admission(aAdmission)
  {
  }

  /** Forwards @p aJob, or adds its caller to the forwarded job of its name.
   * @return false if this entry has to handle the job; it is then unchanged. */
  bool TakeJob(EntryEventContext& aContext, SubmitJob& aJob);

  void OnResult(EntryEventContext& aContext,
                const ProcessId& aFrom,
                ForwardResult aResult);
  void OnNotSent(EntryEventContext& aContext,
                 const ProcessId& aTo,
                 const ForwardJob& aJob);
  /** @return false if @p aCaller waits for no forwarded job. */
  bool OnCallerGone(EntryEventContext& aContext, CallerToken aCaller);
  /** @return false if @p aSubmission is no forwarded job. */
  bool OnCancel(EntryEventContext& aContext, SubmissionId aSubmission);
  void OnDeadline(EntryEventContext& aContext, ForwardId aForward);

  /** Limits the time for the answers to all jobs that are open at @p aPeer,
   * because jobs or answers may have been lost. */
  void OnDoubt(EntryEventContext& aContext, const ProcessId& aPeer);
  /** Answers the jobs that @p aPeer certainly no longer answers. */
  void OnPeerLost(EntryEventContext& aContext,
                  const ProcessId& aPeer,
                  std::string_view aWhy);
  /** Answers the jobs whose OutgoingForward::m_answerBy has passed. */
  void CheckDoubtful(EntryEventContext& aContext);

  /** @return the progress of a forwarded job, whose tasks all count as waiting.
   */
  std::optional<SubmissionStatus> Status(SubmissionId aSubmission) const;
  /** @return the id of the open forwarded job that its caller named @p aName.
   */
  std::optional<SubmissionId> Find(const std::string& aName) const;

private:
  bool JoinForwardedJob(const SubmitJob& aJob);
  bool ShouldForward(const SubmitJob& aJob);
  /** @return a random eligible peer, weighted by free processor. */
  std::optional<ProcessId> ChoosePeer();
  void Forward(EntryEventContext& aContext,
               const ProcessId& aPeer,
               SubmitJob aJob);
  /** Removes the job from the state. */
  OutgoingForward Close(ForwardId aForward);
  void HandleHere(EntryEventContext& aContext,
                  ForwardId aForward,
                  std::string_view aWhy);
  /** Gives @p aJoined the same answer as @p aCaller, whose job was just passed
   * to the admission of this entry. */
  void JoinCallers(EntryEventContext& aContext,
                   CallerToken aCaller,
                   const std::vector<CallerToken>& aJoined);
  void AnswerCallers(EntryEventContext& aContext,
                     ForwardId aForward,
                     Answer aAnswer);
  void FailUnanswered(EntryEventContext& aContext,
                      ForwardId aForward,
                      std::string_view aWhy);
  void SendCancel(EntryEventContext& aContext, ForwardId aForward) const;

  EntryBoard& m_board;
  AnswerController& m_answers;
  AdmissionController& m_admission;
};

} // namespace mulberrysail::core
