#include "core/internal/entry/peerloadcontroller.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace mulberrysail::core {

namespace {

/** Between two entries with open forwarded jobs. */
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
/** A change of the used share by this much is announced to peers that may
 * forward jobs. */
constexpr int kForwardingChangePercent = 10;
/** The same if no jobs are forwarded: a coarser figure is enough to choose when
 * to leave the rotation, and costs fewer messages. */
constexpr int kSheddingChangePercent = 25;
/** Peers that use more of their allowed processor time have no headroom. */
constexpr double kHeadroomBelow = 0.7;
constexpr double kBusyPeerAbove = 0.85;
constexpr double kHundred = 100;
constexpr double kMilliCoresPerCore = 1000;

int
AnnouncedChange(const EntryBoard& aBoard)
{
  return aBoard.ForwardsJobs() ? kForwardingChangePercent
                               : kSheddingChangePercent;
}

PeerHeadroom
HeadroomOf(const std::map<ProcessId, ForwardPeer>& aPeers)
{
  PeerHeadroom headroom;
  for (const auto& [id, peer] : aPeers) {
    if (!peer.m_load) {
      continue;
    }
    const double used = peer.m_load->m_usedPercent / kHundred;
    const double allowed =
      peer.m_load->m_allowedMilliCores / kMilliCoresPerCore;
    ++headroom.m_known;
    if (peer.m_load->m_draining || used > kBusyPeerAbove) {
      ++headroom.m_busy;
    } else {
      headroom.m_freeCores += allowed * std::max(kHeadroomBelow - used, 0.0);
    }
  }
  return headroom;
}

} // namespace

void
PeerLoadController::OnSample(EntryEventContext& aContext,
                             const ProcessorSampled& aSample)
{
  if (!m_board.ExchangesLoad()) {
    return;
  }
  ForwardState& state = m_board.m_forwarding;
  if (m_board.m_policy.m_shedConnections) {
    ControlRotation(aContext, aSample);
  }
  const double used = std::clamp(aSample.m_usedShare, 0.0, 1.0);
  if (m_board.ForwardsJobs()) {
    state.m_share.OnSample(used, aSample.m_lateness);
  }
  state.m_usedPercent =
    static_cast<std::uint32_t>(std::lround(used * kHundred));
  const bool first = !state.m_firstSampleAt;
  state.m_firstSampleAt = state.m_firstSampleAt.value_or(aContext.m_now);
  state.m_lastSampleAt = aContext.m_now;
  m_board.m_counters.m_forwardPercent = state.m_share.Percent();
  m_board.m_counters.m_processorUsedPercent = state.m_usedPercent;
  const int change = static_cast<int>(state.m_usedPercent) -
                     static_cast<int>(state.m_announcedPercent);
  if (first || state.m_announcedAccepts != m_receiver.Accepts(aContext.m_now) ||
      std::abs(change) >= AnnouncedChange(m_board)) {
    SendLoadToAll(aContext);
  }
}

void
PeerLoadController::ControlRotation(EntryEventContext& aContext,
                                    const ProcessorSampled& aSample)
{
  const PeerHeadroom headroom = HeadroomOf(m_board.m_forwarding.m_peers);
  const std::optional<ChangeRotation> change = m_rotation.OnSample(
    aContext.m_now, aSample, m_board.m_policy.m_processorShare, headroom);
  if (!change) {
    return;
  }
  aContext.Record(change->m_inRotation ? EventCode::RotationJoined
                                       : EventCode::RotationLeft,
                  0,
                  EventDetail()
                    .Add("used_percent",
                         static_cast<std::uint64_t>(
                           std::lround(kHundred * m_rotation.UsedShare())))
                    .Add("late_ms", aSample.m_lateness)
                    .Add("close_percent", change->m_closePercent)
                    .Add("peers", headroom.m_known)
                    .Add("busy_peers", headroom.m_busy)
                    .Add("free_cores", headroom.m_freeCores));
  aContext.m_commands.emplace_back(*change);
}

void
PeerLoadController::OnLoad(EntryEventContext& aContext,
                           const ProcessId& aFrom,
                           const PeerLoad& aLoad)
{
  ForwardPeer& peer = m_board.m_forwarding.m_peers[aFrom];
  peer.m_load = aLoad;
  peer.m_heardAt = aContext.m_now;
}

Duration
PeerLoadController::OnMessageReceived(EntryEventContext& aContext,
                                      const ProcessId& aFrom,
                                      Instant aSentAt)
{
  const auto found = m_board.m_forwarding.m_peers.find(aFrom);
  if (found == m_board.m_forwarding.m_peers.end()) {
    EndEarlierIncarnations(aContext, aFrom);
    return Duration::zero();
  }
  found->second.m_heardAt = aContext.m_now;
  return aSentAt == Instant()
           ? Duration::zero()
           : found->second.m_transit.Add(aContext.m_now, aSentAt);
}

bool
PeerLoadController::IsSuperseded(const ProcessId& aPeer) const
{
  const auto isLater = [&](const ProcessId& aOther) {
    return aOther.m_name == aPeer.m_name &&
           aOther.m_incarnation > aPeer.m_incarnation;
  };
  // The clock of an entry may have been set back before its restart, so the
  // list of entries has precedence.
  const std::vector<ProcessId>& listed = m_board.m_peers;
  if (std::find(listed.begin(), listed.end(), aPeer) != listed.end()) {
    return false;
  }
  const auto& known = m_board.m_forwarding.m_peers;
  return std::any_of(listed.begin(), listed.end(), isLater) ||
         std::any_of(known.begin(), known.end(), [&](const auto& aPair) {
           return isLater(aPair.first);
         });
}

void
PeerLoadController::OnLinkReset(EntryEventContext& aContext,
                                const ProcessId& aPeer)
{
  EndEarlierIncarnations(aContext, aPeer);
  m_forwards.OnDoubt(aContext, aPeer);
  const bool listed =
    std::find(m_board.m_peers.begin(), m_board.m_peers.end(), aPeer) !=
    m_board.m_peers.end();
  if (listed && m_board.ExchangesLoad()) {
    SendLoad(aContext, aPeer);
  }
}

void
PeerLoadController::OnPeersChanged(EntryEventContext& aContext,
                                   const std::vector<ProcessId>& aOld)
{
  const std::vector<ProcessId>& listed = m_board.m_peers;
  for (const ProcessId& peer : listed) {
    EndEarlierIncarnations(aContext, peer);
    if (m_board.ExchangesLoad() &&
        std::find(aOld.begin(), aOld.end(), peer) == aOld.end()) {
      SendLoad(aContext, peer);
    }
  }
  for (const ProcessId& peer : aOld) {
    const auto known = m_board.m_forwarding.m_peers.find(peer);
    if (std::find(listed.begin(), listed.end(), peer) != listed.end() ||
        known == m_board.m_forwarding.m_peers.end()) {
      continue;
    }
    // An entry that ends answers first, but its answers may still be in
    // transit.
    m_forwards.OnDoubt(aContext, peer);
    if (!known->second.HasOpenForwards()) {
      m_board.m_forwarding.m_peers.erase(known);
    }
  }
}

void
PeerLoadController::OnDrain(EntryEventContext& aContext)
{
  if (m_board.ExchangesLoad()) {
    SendLoadToAll(aContext);
  }
}

void
PeerLoadController::OnTimer(EntryEventContext& aContext)
{
  ForwardState& state = m_board.m_forwarding;
  state.m_isTimerArmed = false;
  m_forwards.CheckDoubtful(aContext);
  std::vector<ProcessId> silent;
  for (const auto& [id, peer] : state.m_peers) {
    if (!peer.HasOpenForwards()) {
      continue;
    }
    if (aContext.m_now - peer.m_heardAt >= m_board.m_policy.m_agentTimeout) {
      silent.push_back(id);
    } else if (aContext.m_now - peer.m_sentAt >= kHeartbeatInterval) {
      SendLoad(aContext, id);
    }
  }
  for (const ProcessId& id : silent) {
    m_forwards.OnPeerLost(aContext, id, "the peer was silent");
    m_receiver.CancelAll(aContext, id);
    if (std::find(m_board.m_peers.begin(), m_board.m_peers.end(), id) ==
        m_board.m_peers.end()) {
      state.m_peers.erase(id);
    }
  }
  const bool anyOpen = !state.m_outgoing.empty() || !state.m_incoming.empty();
  if (anyOpen) {
    m_board.ArmForwardTimer(aContext.m_now);
  }
}

void
PeerLoadController::SendLoad(EntryEventContext& aContext,
                             const ProcessId& aPeer)
{
  PeerLoad load;
  load.m_allowedMilliCores = static_cast<std::uint32_t>(
    std::lround(m_board.m_policy.m_processorShare * kMilliCoresPerCore));
  load.m_usedPercent = m_board.m_forwarding.m_usedPercent;
  load.m_draining = m_board.m_draining;
  load.m_acceptsForwardedJobs = m_receiver.Accepts(aContext.m_now);
  m_board.m_forwarding.m_peers[aPeer].m_sentAt = aContext.m_now;
  aContext.Send(aPeer, load);
}

void
PeerLoadController::SendLoadToAll(EntryEventContext& aContext)
{
  ForwardState& state = m_board.m_forwarding;
  state.m_announcedPercent = state.m_usedPercent;
  state.m_announcedAccepts = m_receiver.Accepts(aContext.m_now);
  for (const ProcessId& peer : m_board.m_peers) {
    SendLoad(aContext, peer);
  }
}

void
PeerLoadController::EndEarlierIncarnations(EntryEventContext& aContext,
                                           const ProcessId& aNew)
{
  std::vector<ProcessId> earlier;
  for (const auto& [id, peer] : m_board.m_forwarding.m_peers) {
    if (id.m_name == aNew.m_name && id.m_incarnation < aNew.m_incarnation) {
      earlier.push_back(id);
    }
  }
  for (const ProcessId& id : earlier) {
    m_forwards.OnPeerLost(aContext, id, "the peer was restarted");
    m_receiver.CancelAll(aContext, id);
    m_board.m_forwarding.m_peers.erase(id);
  }
}

} // namespace mulberrysail::core
