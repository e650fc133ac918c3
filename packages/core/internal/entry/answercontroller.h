#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>
#include <string>

namespace mulberrysail::core {

/** Ends submissions: each is answered once, and what is left of it at agents
 * is taken back. */
class AnswerController
{
public:
  explicit AnswerController(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Refuses what was never admitted. */
  void Refuse(EntryEventContext& aContext,
              CallerToken aCaller,
              ErrorKind aKind,
              std::string aDetail,
              std::optional<Duration> aRetryAfter,
              const std::string& aName);

  /** Ends @p aSubmission without a whole answer. Its execution is what is
   * proved of its items, whatever the kind's table says better. */
  void Fail(EntryEventContext& aContext,
            Submission& aSubmission,
            ErrorKind aKind,
            std::string aDetail);

  /** Ends @p aSubmission, whose items are all done. */
  void Complete(EntryEventContext& aContext, Submission& aSubmission);

  /** Ends it for a caller that doesn't want it any more. */
  /** One of its callers is gone; it is cancelled with the last one. */
  void OnCallerDisconnected(EntryEventContext& aContext,
                            Submission& aSubmission,
                            CallerToken aCaller);

  void Cancel(EntryEventContext& aContext, Submission& aSubmission);

  /** Handles the deadline, if it is still open. */
  void OnDeadline(EntryEventContext& aContext, SubmissionId aSubmission);

  void OnRetentionExpired(SubmissionId aSubmission);

  /** @return when a refused caller should come back: after @p aBacklog, and
   * spread, so that a refused crowd doesn't return as one. */
  Duration RetryAfter(Duration aBacklog);

private:
  Execution KnownExecution(const Submission& aSubmission) const;
  void FinishSubmission(EntryEventContext& aContext,
                        Submission& aSubmission,
                        Answer aAnswer);
  void Withdraw(EntryEventContext& aContext, Submission& aSubmission);

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
