#pragma once

#include "core/internal/entry/admissioncontroller.h"
#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/entryboard.h"

#include <cstddef>
#include <string>

namespace mulberrysail::core {

/** Admits the jobs that peers forward as if their callers were local, and sends
 * the answers back. */
class ForwardReceiver
{
public:
  ForwardReceiver(EntryBoard& aBoard,
                  AnswerController& aAnswers,
                  AdmissionController& aAdmission)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_admission(aAdmission)
  {
  }

  /** @param aTransit the estimated time for which the message was in transit.
   */
  void OnJob(EntryEventContext& aContext,
             const ProcessId& aFrom,
             ForwardJob aJob,
             Duration aTransit);
  void OnCancel(EntryEventContext& aContext,
                const ProcessId& aFrom,
                const ForwardCancel& aCancel);
  /** Cancels all jobs of @p aPeer, which no longer waits for their answers. */
  void CancelAll(EntryEventContext& aContext, const ProcessId& aPeer);

  /** @return whether this entry admits forwarded jobs now. */
  bool Accepts(Instant aNow) const;

  /** Replaces answers to forwarded jobs by messages to the entries that
   * forwarded them.
   * @param aFrom the index of the first command to look at. */
  void SendResults(EntryEventContext& aContext, std::size_t aFrom);

private:
  void Refuse(EntryEventContext& aContext,
              const ProcessId& aTo,
              ForwardId aForward,
              std::string aDetail) const;
  void MarkClosed(ForwardPeer& aPeer, Instant aNow, ForwardId aForward) const;
  /** Cancels the job at this entry, without an answer to @p aPeer. */
  void Cancel(EntryEventContext& aContext,
              ForwardPeer& aPeer,
              ForwardId aForward);

  EntryBoard& m_board;
  AnswerController& m_answers;
  AdmissionController& m_admission;
};

} // namespace mulberrysail::core
