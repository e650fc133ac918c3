#pragma once

#include "core/iagent.h"
#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Dispatches each event to the responsible controllers, then lets all
 * controllers process what has become due. */
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

  void HandleMessage(EntryIndex aEntry, Message& aMessage);
  void HandleOffers(EntryIndex aEntry, OfferBatch& aBatch);
  void HandleHello(EntryIndex aEntry, const EntryHello& aHello);
  /** Notes the version of the entry, and requests the document if a copy has to
   * be kept. */
  void HandleConfigVersion(EntryIndex aEntry, const EntryHello& aHello);
  void HandleConfigUpdate(EntryIndex aEntry, const ConfigUpdate& aUpdate);
  /** Stores the configuration and schedules an Announce if @p aVersion is newer
   * than the current version; otherwise does nothing. */
  void SetConfig(ConfigVersion aVersion, std::string aDocument);
  /** Sends the requested part of the configuration, if the entry only has an
   * older version. */
  void SendConfigPart(EntryIndex aEntry, const ConfigRequest& aRequest);
  /** Expires, starts and reports what is due after an event. */
  void ProcessDue();
  /** Records the attempts that were accepted with the current event and are
   * still queued. */
  void RecordQueued();

  AgentBoard m_board;
  bool m_hasStarted = false;
};

} // namespace mulberrysail::core::agent
