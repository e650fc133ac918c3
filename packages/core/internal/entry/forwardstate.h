#pragma once

#include "core/internal/entry/forwardshare.h"
#include "core/internal/entry/transitmeter.h"
#include "core/types/events.h"
#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberrysail::core {

/** A job that this entry passed to a peer and whose callers it has to answer.
 * Its ForwardId has the value of its SubmissionId. */
struct OutgoingForward
{
  ProcessId m_peer;
  /** The job as submitted, to be handled here if the peer does not take it. */
  SubmitJob m_job;
  /** Callers of later submissions of the same name. */
  std::vector<CallerToken> m_joinedCallers;
  Instant m_forwardedAt;
  Instant m_deadline;
  /** When the caller is answered that the job may have run. Set if the job or
   * its answer may have been lost; kNever otherwise. */
  Instant m_answerBy = kNever;
};

/** A job that a peer passed to this entry. */
struct IncomingForward
{
  ProcessId m_from;
  ForwardId m_forward;
};

/** One incarnation of another entry. */
struct ForwardPeer
{
  /** Its last PeerLoad; absent if it was silent since. */
  std::optional<PeerLoad> m_load;
  Instant m_heardAt;
  /** When this entry last sent it a PeerLoad. */
  Instant m_sentAt;
  TransitMeter m_transit;
  std::uint32_t m_outgoing = 0;
  std::map<ForwardId, CallerToken> m_incoming;
  /** Ids that were refused, answered or cancelled; a copy of such a job that
   * arrives later must not run. */
  std::set<ForwardId> m_closed;
  std::deque<std::pair<Instant, ForwardId>> m_closedOrder;

  bool HasOpenForwards() const { return m_outgoing > 0 || !m_incoming.empty(); }
};

/** The forwarding of jobs between entries; part of the entry's blackboard. */
struct ForwardState
{
  ForwardShare m_share;
  std::uint32_t m_usedPercent = 0;
  /** The used share in the last PeerLoad that was sent to all peers. */
  std::uint32_t m_announcedPercent = 0;
  bool m_announcedAccepts = false;
  std::optional<Instant> m_firstSampleAt;
  Instant m_lastSampleAt;
  std::map<ProcessId, ForwardPeer> m_peers;

  std::unordered_map<ForwardId, OutgoingForward> m_outgoing;
  std::unordered_map<CallerToken, ForwardId> m_outgoingCallers;
  std::unordered_map<std::string, ForwardId> m_outgoingByName;

  std::unordered_map<CallerToken, IncomingForward> m_incoming;
  std::uint64_t m_lastIncoming = 0;
  bool m_isTimerArmed = false;
};

} // namespace mulberrysail::core
