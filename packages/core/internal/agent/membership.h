#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <span>

namespace mulberrysail::core::agent {

/** Tracks the known entries, the endpoint, the workers and their leases. */
class Membership
{
public:
  explicit Membership(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Adds @p aEntry and schedules an Announce to it if it is unknown.
   * @return its index. */
  EntryIndex FindOrAdd(const ProcessId& aEntry);

  /** Records that @p aEntry was alive when it sent a message that has just been
   * received.
   * @param aSentAt send time on the clock of the entry; the epoch if it is
   * unknown, in which case the current time is used. */
  EntryIndex UpdateLastSeen(const ProcessId& aEntry, Instant aSentAt);

  /** Marks @p aEntry as reachable after a link to it was opened. */
  EntryIndex MarkReachable(const ProcessId& aEntry);

  void SetEntries(std::span<const ProcessId> aEntries);
  void SetEndpoint(EndpointAnnounced aAnnounced);
  void SetWorker(WorkerAnnounced aAnnounced);
  void SetWorkerLeaving(const WorkerLeft& aLeft);

  /** Expires the endpoint and the workers whose leases have ended, ends the
   * attempts of unresponsive entries, and removes departed entries. */
  void ProcessTimeouts();

  /** @return when the next entry with open attempts becomes unresponsive if no
   * message from it is received. */
  static Instant NextEntryTimeout(const AgentBoard& aBoard);

private:
  /** @return the send time on this agent's clock: the time of arrival less the
   * transit time in excess of the shortest transit. */
  Instant EstimateSentAt(EntryRecord& aEntry, Instant aSentAt) const;
  /** Ends the attempts of earlier incarnations of @p aEntry. */
  void EndEarlierIncarnations(const ProcessId& aEntry);
  void RevokeQueuedOf(EntryIndex aEntry);
  /** Revokes the queued attempts of the entry and stops its running tasks,
   * since no caller can receive their outcome any more. */
  void EndAttemptsOf(EntryIndex aEntry);
  void ExpireEndpoint();
  void ExpireWorkers();
  /** Ends the attempts of the entries that have become unresponsive. */
  void EndAttemptsOfUnresponsiveEntries();
  /** Removes unlisted entries without open attempts after the retention
   * period. */
  void RemoveStaleEntries();

  AgentBoard& m_board;
};

/** @return whether the endpoint accepts requests. */
bool
EndpointServes(const AgentBoard& aBoard);

/** @return whether the worker's lease is valid and the worker isn't leaving. */
bool
IsLive(const AgentBoard& aBoard, const Worker& aWorker);

/** @return whether the entry is listed or linked, or has sent a message within
 * the lease. */
bool
IsPresent(const AgentBoard& aBoard, const EntryRecord& aEntry);

} // namespace mulberrysail::core::agent
