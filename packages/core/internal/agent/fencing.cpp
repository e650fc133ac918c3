#include "core/internal/agent/fencing.h"

#include <algorithm>
#include <limits>

namespace mulberrysail::core::agent {

namespace {

/** By how much the first rejected token is raised. Tokens begin with the
 * incarnation of the agent, which is its start time in microseconds. */
constexpr std::uint64_t kFirstStep = 1'000'000;
/** The highest token that every reader of JSON numbers takes for an integer. */
constexpr std::uint64_t kMaxToken = std::numeric_limits<std::int64_t>::max();
/** Rejections raise tokens up to here, so that a worker that rejects all of
 * them leaves tokens for the other workers of the agent. */
constexpr std::uint64_t kMaxRejectedToken = kMaxToken / 2;

/** Gives the worker the highest token of the agent. */
void
SetToken(AgentBoard& aBoard, Worker& aWorker, std::string_view aCause)
{
  aWorker.m_fencingToken = aBoard.m_workers.m_lastFencingToken;
  aWorker.m_fencingRaisedAt = aBoard.m_now;
  Record(aBoard,
         EventCode::FencingTokenRaised,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("token", aWorker.m_fencingToken)
           .Add("cause", aCause));
}

} // namespace

void
RaiseFencingToken(AgentBoard& aBoard, Worker& aWorker, std::string_view aCause)
{
  std::uint64_t& last = aBoard.m_workers.m_lastFencingToken;
  last = std::min(last + 1, kMaxToken);
  SetToken(aBoard, aWorker, aCause);
}

void
RaiseRejectedToken(AgentBoard& aBoard, Worker& aWorker)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_fencingStep =
    state.m_fencingStep == 0
      ? kFirstStep
      : std::min(state.m_fencingStep * 2, kMaxRejectedToken);
  std::uint64_t& last = aBoard.m_workers.m_lastFencingToken;
  last =
    std::max(last, std::min(last + state.m_fencingStep, kMaxRejectedToken));
  SetToken(aBoard, aWorker, "the worker has received a higher token");
}

void
ConfirmFencingToken(Worker& aWorker, std::uint64_t aToken)
{
  LeasedRunState& state = *aWorker.m_leasedRuns;
  state.m_confirmedToken = std::max(state.m_confirmedToken, aToken);
  state.m_fencingStep = 0;
}

bool
IsFenced(const Worker& aWorker)
{
  return aWorker.m_leasedRuns->m_confirmedToken >= aWorker.m_fencingToken;
}

} // namespace mulberrysail::core::agent
