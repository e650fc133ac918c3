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
 * The decision logic of an agent, which runs on the machine of an endpoint or
 * of workers. The agent alone decides whether an attempt that was offered to
 * it starts. It reads no clock, creates no thread and does no I/O. Not
 * thread-safe: the owner holds the lock.
 */
class IAgent
{
public:
  virtual ~IAgent() = default;

  /**
   * Handles one event.
   * @param aNow the process's monotonic time; never earlier than in the
   * previous call.
   * @param aEvent the event; its contents may be moved from.
   * @param aCommands receives the resulting commands, appended in the order in
   * which to execute them.
   */
  virtual void Handle(Instant aNow,
                      AgentEvent aEvent,
                      AgentCommands& aCommands) = 0;

  /** @return the latest time for the next TimerFired; kNever if none is due. */
  virtual Instant NextWake() const = 0;

  /** @return whether no attempt is queued or running and every reachable entry
   * has been sent all its reports. */
  virtual bool Idle() const = 0;

  /** @return the agent's state, as an entry would show it. */
  virtual AgentStatus Status() const = 0;

  virtual AgentCounters Counters() const = 0;
};

/**
 * Creates an agent.
 * @param aSelf the agent's name and incarnation.
 * @param aSeed the seed of all random choices.
 */
std::unique_ptr<IAgent>
MakeAgent(ProcessId aSelf, AgentPolicy aPolicy, std::uint64_t aSeed);

/**
 * Ranks candidates by rendezvous hashing, so that a change to the set of
 * candidates reassigns few keys.
 * @param aKey the key to assign.
 * @param aNames the candidates.
 * @return indexes into @p aNames, best candidate first.
 */
std::vector<std::size_t>
RendezvousRank(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace mulberrysail::core
