#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>
#include <string>

namespace mulberrysail::core {

/** Ends submissions: answers each once, and revokes its attempts that are still
 * open at agents. */
class AnswerController
{
public:
  explicit AnswerController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Answers a submission that is not admitted.
   * @param aName the caller's name for the submission, for the log. */
  void Refuse(EntryEventContext& aContext,
              CallerToken aCaller,
              ErrorKind aKind,
              std::string aDetail,
              std::optional<Duration> aRetryAfter,
              const std::string& aName);

  /** Ends @p aSubmission with an error. The answer says that nothing ran only
   * if this is known of all its items, even if the table of error kinds says
   * so for @p aKind. */
  void Fail(EntryEventContext& aContext,
            Submission& aSubmission,
            ErrorKind aKind,
            std::string aDetail);

  /** Ends @p aSubmission with its outputs; all of its items must be done. */
  /** Fails the submission of an item that must not be started again, see
   * MustGiveUp().
   * @param aItem must not be in a wait queue, or be offered. */
  void GiveUp(EntryEventContext& aContext,
              Submission& aSubmission,
              WorkItem& aItem);
  void Complete(EntryEventContext& aContext, Submission& aSubmission);

  /** Removes @p aCaller, which has disconnected, from @p aSubmission. The
   * submission is cancelled when its last caller disconnects. */
  void OnCallerDisconnected(EntryEventContext& aContext,
                            Submission& aSubmission,
                            CallerToken aCaller);

  /** Ends @p aSubmission because its caller no longer needs the answer. */
  void Cancel(EntryEventContext& aContext, Submission& aSubmission);

  /** Fails @p aSubmission if it is still open. */
  void OnDeadline(EntryEventContext& aContext, SubmissionId aSubmission);

  /** Evicts the status of a finished submission. */
  void OnRetentionExpired(SubmissionId aSubmission);

  /** @return the time after which a refused caller should retry: at least
   * @p aBacklog, plus random jitter, so that callers that were refused together
   * do not retry at the same time. */
  Duration RetryAfter(Duration aBacklog);

private:
  /** @return NotRun only if no item of @p aSubmission can have run. */
  Execution KnownExecution(const Submission& aSubmission) const;
  void FinishSubmission(EntryEventContext& aContext,
                        Submission& aSubmission,
                        Answer aAnswer);
  /** Removes waiting items from their queue and revokes offered ones. */
  void Withdraw(EntryEventContext& aContext, Submission& aSubmission);

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
