#pragma once

#include "core/ientry.h"
#include "core/internal/entry/admissioncontroller.h"
#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/crashcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/forwardcontroller.h"
#include "core/internal/entry/forwardreceiver.h"
#include "core/internal/entry/membershipcontroller.h"
#include "core/internal/entry/outcomecontroller.h"
#include "core/internal/entry/peerloadcontroller.h"
#include "core/internal/entry/zonedraincontroller.h"

namespace mulberrysail::core {

/** Passes each event to the controller that handles it. */
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
  const ZoneDrains& Drains() const override;
  EntryCounters Counters() const override;

private:
  void On(EntryEventContext& aContext, MessageReceived aEvent);
  void On(EntryEventContext& aContext, SendFailed aEvent);
  void On(EntryEventContext& aContext, const LinkReset& aEvent);
  void On(EntryEventContext& aContext, const TimerFired& aEvent);
  void On(EntryEventContext& aContext, const DrainRequested& aEvent);
  void On(EntryEventContext& aContext, ConfigChanged aEvent);
  void On(EntryEventContext& aContext, SubmitRequest aEvent);
  void On(EntryEventContext& aContext, SubmitJob aEvent);
  void On(EntryEventContext& aContext, const CancelSubmission& aEvent);
  void On(EntryEventContext& aContext, const CallerGone& aEvent);
  void On(EntryEventContext& aContext, PeersChanged aEvent);
  void On(EntryEventContext& aContext, const NoPriorSubmissions& aEvent);
  void On(EntryEventContext& aContext, const ZoneDrainsChanged& aEvent);
  void On(EntryEventContext& aContext, const ProcessorSampled& aEvent);
  void On(EntryEventContext& aContext, const CallersRead& aEvent);
  void On(EntryEventContext& aContext, const MessagesHandled& aEvent);
  void HandleTimer(EntryEventContext& aContext, const Timer& aTimer);
  /** @return whether HandleTimer() would do nothing for the timer, now and
   * later. */
  bool IsObsolete(const Timer& aTimer);

  EntryBoard m_board;
  AnswerController m_answers;
  DispatchController m_dispatch;
  ClaimController m_claims;
  AdmissionController m_admission;
  OutcomeController m_outcomes;
  ConfigController m_configs;
  ZoneDrainController m_drains;
  CrashController m_crashes;
  MembershipController m_membership;
  ForwardController m_forwards;
  ForwardReceiver m_forwardReceiver;
  PeerLoadController m_peerLoads;
};

} // namespace mulberrysail::core
