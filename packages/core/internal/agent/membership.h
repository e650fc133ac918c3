#pragma once

#include "core/internal/agent/board.h"
#include "core/types/events.h"

#include <span>

namespace mulberrysail::core::agent {

/** Who is there: entries, the endpoint, the workers; and their leases. */
class Membership
{
public:
  explicit Membership(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** @return the number of @p aEntry, which is announced to if it is new. */
  EntryIndex FindOrAdd(const ProcessId& aEntry);

  /** Notes that @p aEntry was alive when it sent a message that has come now.
   * @param aSentAt on its own clock; the epoch if it isn't known, which counts
   * as now. */
  EntryIndex UpdateLastSeen(const ProcessId& aEntry, Instant aSentAt);

  /** Notes that a link to @p aEntry was opened. */
  EntryIndex LinkOpened(const ProcessId& aEntry);

  void SetEntries(std::span<const ProcessId> aEntries);
  void SetEndpoint(EndpointAnnounced aAnnounced);
  void SetWorker(WorkerAnnounced aAnnounced);
  void SetWorkerLeaving(const WorkerLeft& aLeft);

  /** Ends the leases that have run out. */
  void ExpireLeases();

  /** @return when the next entry with open attempts has been silent for too
   * long. */
  static Instant NextEntryTimeout(const AgentBoard& aBoard);

private:
  /** @return the time of a sending on this agent's clock: what was under way
   * for longer than the quickest message was sent so much earlier. */
  Instant EstimateSentAt(EntryRecord& aEntry, Instant aSentAt) const;
  void EndEarlierIncarnations(const ProcessId& aEntry);
  void RevokeQueuedOf(EntryIndex aEntry);
  /** Its caller is gone or can't be told: ends all that it has here. */
  void EndAttemptsOf(EntryIndex aEntry);
  void ExpireEndpoint();
  void ExpireWorkers();
  void ExpireEntries();
  void RemoveStaleEntries();

  AgentBoard& m_board;
};

/** @return whether the endpoint takes work. */
bool
EndpointServes(const AgentBoard& aBoard);

/** @return whether the worker's lease holds and it isn't leaving. */
bool
IsLive(const AgentBoard& aBoard, const Worker& aWorker);

/** @return whether the entry was heard of lately or is on the list. */
bool
IsPresent(const AgentBoard& aBoard, const EntryRecord& aEntry);

} // namespace mulberrysail::core::agent
