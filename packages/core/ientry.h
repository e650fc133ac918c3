#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "core/types/policy.h"
#include "core/types/status.h"

#include <memory>
#include <optional>
#include <string_view>

namespace mulberrysail::core {

/**
 * The decision logic of one shard of an entry. It reads no clock, creates no
 * thread and does no I/O: the same events with the same seed produce the same
 * commands. Not thread-safe: the owner holds the shard's lock.
 */
class IEntry
{
public:
  virtual ~IEntry() = default;

  /**
   * Handles one event.
   * @param aNow the process's monotonic time; never earlier than in the
   * previous call.
   * @param aEvent the event; its contents may be moved from.
   * @param aCommands receives the resulting commands, appended in the order in
   * which to execute them.
   */
  virtual void Handle(Instant aNow,
                      EntryEvent aEvent,
                      EntryCommands& aCommands) = 0;

  /** @return the latest time for the next TimerFired; kNever if none is due. */
  virtual Instant NextWake() const = 0;

  /** @return whether no submission and no forwarded job is open, so that a
   * draining process may exit. */
  virtual bool Idle() const = 0;

  /** @return the progress or outcome of @p aSubmission; nothing if it is
   * unknown or its retention has expired. */
  virtual std::optional<SubmissionStatus> Status(
    SubmissionId aSubmission) const = 0;

  /** @return the progress or outcome of the job that its caller named
   * @p aName; nothing if it is unknown or its retention has expired. */
  virtual std::optional<SubmissionStatus> Find(
    const std::string& aName) const = 0;

  /** @return the number of admitted jobs of @p aQueue none of whose tasks has
   * been offered to an agent. */
  virtual std::size_t PendingJobs(std::string_view aQueue) const = 0;

  /** @return all known agents, ordered by name. */
  virtual std::vector<AgentStatus> Agents() const = 0;

  /** @return the newest list of drained zones that the entry knows. */
  virtual const ZoneDrains& Drains() const = 0;

  virtual EntryCounters Counters() const = 0;
};

/**
 * Creates a shard of an entry.
 * @param aSelf the entry's name and incarnation.
 * @param aShard the shard's number, which attempt and submission ids contain.
 * @param aSeed the seed of all random choices.
 */
std::unique_ptr<IEntry>
MakeEntry(ProcessId aSelf,
          std::uint8_t aShard,
          EntryPolicy aPolicy,
          std::uint64_t aSeed);

/** @return the number of the shard that created @p aSubmission. */
std::uint8_t
ShardOf(SubmissionId aSubmission);

/** @return the number of the shard that created @p aAttempt. */
std::uint8_t
ShardOf(AttemptId aAttempt);

} // namespace mulberrysail::core
