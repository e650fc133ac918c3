#pragma once

#include "core/iagent.h"
#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Hands each event to the controllers in charge, then lets the others look
 * whether something has become due. */
class Agent : public IAgent
{
public:
  Agent(ProcessId aSelf, AgentPolicy aPolicy, std::uint64_t aSeed);

  void Handle(Instant aNow,
              AgentEvent aEvent,
              AgentCommands& aCommands) override;
  Instant NextWake() const override;
  bool Idle() const override;
  AgentStatus Status() const override;
  AgentCounters Counters() const override;

private:
  void On(MessageReceived& aEvent);
  void On(SendFailed& aEvent);
  void On(LinkReset& aEvent);
  void On(TimerFired& aEvent);
  void On(DrainRequested& aEvent);
  void On(ConfigChanged& aEvent);
  void On(EndpointAnnounced& aEvent);
  void On(WorkerAnnounced& aEvent);
  void On(WorkerLeft& aEvent);
  void On(RunFinished& aEvent);
  void On(StartAnswered& aEvent);
  void On(StopAnswered& aEvent);
  void On(RunsObserved& aEvent);
  void On(PeersChanged& aEvent);

  void Receive(EntryIndex aEntry, Message& aMessage);
  void ReceiveOffers(EntryIndex aEntry, OfferBatch& aBatch);
  void HandleHello(EntryIndex aEntry, const EntryHello& aHello);
  void Configure(ConfigVersion aVersion, std::string aDocument);
  void SendConfig(EntryIndex aEntry, ConfigVersion aKnown);
  void ProcessDue();
  void RecordQueued();

  AgentBoard m_board;
  bool m_hasStarted = false;
};

} // namespace mulberrysail::core::agent
