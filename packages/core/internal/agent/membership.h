#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <span>

namespace mulberrysail::core::agent {

/** Tracks the known entries, the endpoint, the workers and the leases of their
 * announcements. */
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

  /** Adds @p aEntry if it is unknown and marks it as reachable; called when a
   * link to it was opened. @return its index. */
  EntryIndex MarkReachable(const ProcessId& aEntry);

  /** Renews the lease of the attempts of @p aEntry.
   * @param aGrantedAt see OfferBatch::m_leaseGrantedAt; absent to renew none.
   */
  void RenewLease(EntryRecord& aEntry, std::optional<Instant> aGrantedAt) const;

  /** @return whether a lease that was granted at @p aGrantedAt has lapsed. */
  static bool HasLapsed(const AgentBoard& aBoard, Instant aGrantedAt);

  /** Ends the attempts of entries whose leases have lapsed. Must precede the
   * handling of a message: a newer lease revives no attempt, since the entry
   * may have placed the work again. */
  void EndAttemptsWithoutLease();

  void SetEntries(std::span<const ProcessId> aEntries);
  void SetEndpoint(EndpointAnnounced aAnnounced);
  void SetWorker(WorkerAnnounced aAnnounced);
  void SetWorkerLeaving(const WorkerLeft& aLeft);

  /** Expires the endpoint and the workers whose leases have ended, ends
   * warm-ups that are over, ends the attempts of entries without a lease, and
   * removes stale entries. */
  void ProcessTimeouts();

  /** @return when the lease of the next entry with open attempts lapses if it
   * is not renewed. */
  static Instant NextLeaseEnd(const AgentBoard& aBoard);

private:
  /** Updates the shortest transit time of the entry.
   * @return the estimated send time on this agent's clock: @p aSentAt plus the
   * shortest transit time, which includes the clock offset. */
  Instant EstimateSentAt(EntryRecord& aEntry, Instant aSentAt) const;
  /** Ends the attempts of earlier incarnations of @p aEntry. */
  void EndEarlierIncarnations(const ProcessId& aEntry);
  void RevokeQueuedOf(EntryIndex aEntry);
  /** Revokes the queued attempts of the entry and stops its running tasks,
   * since no caller can receive their outcome any more. */
  void EndAttemptsOf(EntryIndex aEntry);
  void ExpireEndpoint();
  void ExpireWorkers();
  /** Clears WorkerInfo::m_warmingUp of the workers whose warm-up is over. */
  void EndWarmUps();
  /** Removes stale entries: unlisted, without open attempts, and not seen
   * within the retention period. */
  void RemoveStaleEntries();

  AgentBoard& m_board;
};

/** @return whether the endpoint accepts requests. */
bool
EndpointServes(const AgentBoard& aBoard);

/** @return whether the lease of the worker's announcement is valid and the
 * worker isn't leaving. */
bool
IsLive(const AgentBoard& aBoard, const Worker& aWorker);

/** @return whether the entry is listed or linked, or was last seen within
 * AgentPolicy::m_lease. */
bool
IsPresent(const AgentBoard& aBoard, const EntryRecord& aEntry);

} // namespace mulberrysail::core::agent
