#pragma once

#include "core/ientry.h"
#include "core/internal/entry/admissioncontroller.h"
#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/membershipcontroller.h"
#include "core/internal/entry/outcomecontroller.h"

namespace mulberrysail::core {

/** Hands each event to the controller that it concerns. */
class Entry : public IEntry
{
public:
  Entry(ProcessId aSelf,
        std::uint8_t aShard,
        EntryPolicy aPolicy,
        std::uint64_t aSeed);

  void Handle(Instant aNow,
              EntryEvent aEvent,
              EntryCommands& aCommands) override;
  Instant NextWake() const override;
  bool Idle() const override;
  std::optional<SubmissionStatus> Status(
    SubmissionId aSubmission) const override;
  std::optional<SubmissionStatus> Find(const std::string& aName) const override;
  std::size_t PendingJobs(std::string_view aQueue) const override;
  std::vector<AgentStatus> Agents() const override;
  EntryCounters Counters() const override;

private:
  void On(EntryTurn& aTurn, MessageReceived aEvent);
  void On(EntryTurn& aTurn, SendFailed aEvent);
  void On(EntryTurn& aTurn, const LinkReset& aEvent);
  void On(EntryTurn& aTurn, const TimerFired& aEvent);
  void On(EntryTurn& aTurn, const DrainRequested& aEvent);
  void On(EntryTurn& aTurn, ConfigChanged aEvent);
  void On(EntryTurn& aTurn, SubmitRequest aEvent);
  void On(EntryTurn& aTurn, SubmitJob aEvent);
  void On(EntryTurn& aTurn, const CancelSubmission& aEvent);
  void On(EntryTurn& aTurn, const CallerGone& aEvent);
  void On(EntryTurn& aTurn, PeersChanged aEvent);
  void On(EntryTurn& aTurn, const NoPriorSubmissions& aEvent);
  void Fire(EntryTurn& aTurn, const Timer& aTimer);

  EntryBoard m_board;
  AnswerController m_answers;
  DispatchController m_dispatch;
  ClaimController m_claims;
  AdmissionController m_admission;
  OutcomeController m_outcomes;
  MembershipController m_membership;
};

} // namespace mulberrysail::core
