#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "core/types/policy.h"
#include "core/types/status.h"

#include <memory>
#include <string_view>
#include <vector>

namespace mulberrysail::core {

/**
 * The decisions of the agent beside an endpoint: the only judge of whether an
 * attempt that was offered to it starts. It reads no clock, makes no thread
 * and does no I/O. Not thread-safe; its owner holds the lock.
 */
class IAgent
{
public:
  virtual ~IAgent() = default;

  /**
   * Takes one event.
   * @param aNow the process's monotonic time; never less than before.
   * @param aEvent what happened; its contents may be moved from.
   * @param aCommands what to do is appended here, in order.
   */
  virtual void Handle(Instant aNow,
                      AgentEvent aEvent,
                      AgentCommands& aCommands) = 0;

  /** @return when to send TimerFired at the latest; kNever if not at all. */
  virtual Instant NextWake() const = 0;

  /** @return whether nothing waits or runs and all entries were told. */
  virtual bool Idle() const = 0;

  /** @return the agent as an entry would see it. */
  virtual AgentStatus Status() const = 0;

  virtual AgentCounters Counters() const = 0;
};

/**
 * @param aSelf the agent's name and life.
 * @param aSeed for all random choices.
 */
std::unique_ptr<IAgent>
MakeAgent(ProcessId aSelf, AgentPolicy aPolicy, std::uint64_t aSeed);

/**
 * Ranks by rendezvous hashing: a change of the set moves few keys.
 * @param aKey what is to be assigned.
 * @param aNames the candidates.
 * @return indexes into @p aNames, the best first.
 */
std::vector<std::size_t>
RendezvousRank(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace mulberrysail::core
