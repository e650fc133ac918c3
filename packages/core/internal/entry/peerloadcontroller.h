#pragma once

#include "core/internal/entry/entryboard.h"
#include "core/internal/entry/forwardcontroller.h"
#include "core/internal/entry/forwardreceiver.h"
#include "core/internal/entry/rotationcontrol.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/** Exchanges the processor load with peers, and detects peers with open
 * forwarded jobs that were silent, replaced or removed. */
class PeerLoadController
{
public:
  PeerLoadController(EntryBoard& aBoard,
                     ForwardController& aForwards,
                     ForwardReceiver& aReceiver)
    : m_board(aBoard)
    , m_forwards(aForwards)
    , m_receiver(aReceiver)
  {
  }

  void OnSample(EntryEventContext& aContext, const ProcessorSampled& aSample);
  void OnLoad(EntryEventContext& aContext,
              const ProcessId& aFrom,
              const PeerLoad& aLoad);
  /** Any message counts as a heartbeat of its sender.
   * @return the estimated transit time of the message; zero if unknown. */
  Duration OnMessageReceived(EntryEventContext& aContext,
                             const ProcessId& aFrom,
                             Instant aSentAt);
  /** @return whether a later incarnation of @p aPeer is known, so that its
   * forwarded jobs must not be admitted. */
  bool IsSuperseded(const ProcessId& aPeer) const;
  void OnLinkReset(EntryEventContext& aContext, const ProcessId& aPeer);
  /** @param aOld the peers before the change. */
  void OnPeersChanged(EntryEventContext& aContext,
                      const std::vector<ProcessId>& aOld);
  void OnDrain(EntryEventContext& aContext);
  /** Sends heartbeats to peers with open forwarded jobs, and detects silent
   * ones. */
  void OnTimer(EntryEventContext& aContext);

private:
  void ControlRotation(EntryEventContext& aContext,
                       const ProcessorSampled& aSample);
  void SendLoad(EntryEventContext& aContext, const ProcessId& aPeer);
  void SendLoadToAll(EntryEventContext& aContext);
  /** Ends the jobs of earlier incarnations of @p aNew. */
  void EndEarlierIncarnations(EntryEventContext& aContext,
                              const ProcessId& aNew);

  EntryBoard& m_board;
  ForwardController& m_forwards;
  ForwardReceiver& m_receiver;
  RotationControl m_rotation;
};

} // namespace mulberrysail::core
