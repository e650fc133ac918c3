#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Holds free capacity for a short time for the entry whose waiting tasks must
 * start first, so that entries do not offer tasks for the same capacity. */
class CapacityGrants
{
public:
  explicit CapacityGrants(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Stores the statement of a shard of @p aEntry. Ends the grant of an entry
   * at which no work waits. Entries of versions that state no demand pass no
   * value. */
  void RecordDemand(EntryRecord& aEntry,
                    std::uint8_t aShard,
                    const std::optional<Demand>& aDemand);

  /** Takes the need of an accepted task off the grant of its entry. */
  void CountAccepted(EntryRecord& aEntry, const Offer& aOffer);

  /** Ends grants whose time has passed or whose entry is disconnected, and
   * grants free capacity to entries with waiting work. */
  void Update();

private:
  void EndExpired();
  /** Grants a portion of the free capacity to each of the entries that can use
   * one, as long as there is enough. */
  void Assign();
  /** @return whether the entry has unmet demand and does not know of
   * @p aFree. */
  bool CanUse(const EntryRecord& aEntry, const Resources& aFree) const;
  /** @return the entries that may be granted capacity now, the one whose task
   * must start first in front. Entries that are sent a report anyway come
   * before all others, and the others are notified at most once per report
   * interval, so that grants need no more messages than notifications without
   * grants: entries with little processor time fall behind otherwise. */
  std::vector<EntryRecord*> Candidates(const Resources& aFree);
  /** @return the cores that the entry needs beyond its grant, in
   * thousandths; zero if its decayed demand is met. A statement that has
   * decayed only in part counts in full here, so that a portion is enough for
   * the task that waits. */
  std::uint64_t UnmetMilliCores(const EntryRecord& aEntry) const;
  void Grant(EntryRecord& aEntry, const Resources& aPart);

  AgentBoard& m_board;
};

/** @return the demand of all shards of @p aEntry, each decayed by its age. */
Demand
CurrentDemand(const AgentBoard& aBoard, const EntryRecord& aEntry);

/** @return the core time that waits at all entries but @p aEntry, in ascending
 * order of priority. */
std::vector<PriorityWork>
DemandOfOthers(const AgentBoard& aBoard, const EntryRecord& aEntry);

/** @return @p aFree, the free capacity of all workers, without the grants of
 * other entries than @p aEntry. */
Resources
FreeCapacityFor(const AgentBoard& aBoard,
                const EntryRecord& aEntry,
                Resources aFree);

/** @return when the next grant ends; kNever without grants. */
Instant
NextGrantEnd(const AgentBoard& aBoard);

/** @return the smallest free capacity, in thousandths of a core, that is
 * assumed to be enough for a task. */
std::uint32_t
SmallestUsableMilliCores(const AgentBoard& aBoard);

} // namespace mulberrysail::core::agent
