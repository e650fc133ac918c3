#pragma once

#include "core/internal/agent/board.h"

#include <string_view>

/** Fencing tokens of the commands to workers with run leases. A worker does
 * nothing for a command with a lower token than the highest it has received, so
 * a command that is carried out late has no effect there. */
namespace mulberrysail::core::agent {

/** Gives the worker a token that is higher than all earlier ones of this agent.
 * It gets no tasks until it has answered an observation with this token. */
void
RaiseFencingToken(AgentBoard& aBoard, Worker& aWorker, std::string_view aCause);

/** Raises the token after the worker has rejected it as too low. Each rejection
 * in a row doubles the step, as the highest token there isn't known. */
void
RaiseRejectedToken(AgentBoard& aBoard, Worker& aWorker);

/** Notes that the worker has answered an observation with @p aToken. */
void
ConfirmFencingToken(Worker& aWorker, std::uint64_t aToken);

/** @return whether the worker has answered an observation with its current
 * token, so that it does nothing for commands with an earlier one. */
bool
IsFenced(const Worker& aWorker);

} // namespace mulberrysail::core::agent
