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
 * The decisions of one shard of an entry. It reads no clock, makes no thread
 * and does no I/O: the same events with the same seed give the same commands.
 * Not thread-safe; its owner holds the shard's lock.
 */
class IEntry
{
public:
  virtual ~IEntry() = default;

  /**
   * Takes one event.
   * @param aNow the process's monotonic time; never less than before.
   * @param aEvent what happened; its contents may be moved from.
   * @param aCommands what to do is appended here, in order.
   */
  virtual void Handle(Instant aNow,
                      EntryEvent aEvent,
                      EntryCommands& aCommands) = 0;

  /** @return when to send TimerFired at the latest; kNever if not at all. */
  virtual Instant NextWake() const = 0;

  /** @return whether nothing is open, so that a draining process may end. */
  virtual bool Idle() const = 0;

  /** @return where @p aSubmission stands, while that is remembered. */
  virtual std::optional<SubmissionStatus> Status(
    SubmissionId aSubmission) const = 0;

  /** @return where the job stands that its caller calls @p aName, while that
   * is remembered. */
  virtual std::optional<SubmissionStatus> Find(
    const std::string& aName) const = 0;

  /** @return admitted jobs of a queue of which nothing was offered yet. */
  virtual std::size_t Pending(std::string_view aQueue) const = 0;

  /** @return the agents that it knows, in the order of their names. */
  virtual std::vector<AgentStatus> Agents() const = 0;

  virtual EntryCounters Counters() const = 0;
};

/**
 * @param aSelf the entry's name and life.
 * @param aShard numbers the shard; attempt and submission ids contain it.
 * @param aSeed for all random choices.
 */
std::unique_ptr<IEntry>
MakeEntry(ProcessId aSelf,
          std::uint8_t aShard,
          EntryPolicy aPolicy,
          std::uint64_t aSeed);

/** @return the shard that made @p aSubmission. */
std::uint8_t
ShardOf(SubmissionId aSubmission);

/** @return the shard that made @p aAttempt. */
std::uint8_t
ShardOf(AttemptId aAttempt);

} // namespace mulberrysail::core
