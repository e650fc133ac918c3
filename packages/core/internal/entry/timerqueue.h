#pragma once

#include "core/internal/entry/submission.h"

#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace mulberrysail::core {

struct DeadlineTimer
{
  SubmissionId m_submission;
};

/** The item's latest useful start is near or has been reached. */
struct StartByTimer
{
  WorkRef m_work;
};

/** The outcome of an attempt should have been reported by now. */
struct OverdueTimer
{
  AttemptId m_attempt;
};

struct AgentLeaseTimer
{
  ProcessId m_agent;
};

struct ClaimTimer
{
  FenceId m_fence;
};

struct ProbeTimer
{
  WorkRef m_work;
};

/** The retention of a finished submission's status has expired. */
struct RetentionTimer
{
  SubmissionId m_submission;
};

/** Dispatches all waiting items after a retry was delayed by an empty retry
 * budget. */
struct DispatchTimer
{};

/** Agents with open attempts may be due for a heartbeat, or unresponsive. */
struct HeartbeatTimer
{};

/** Revocations that no agent has confirmed may be due for a repetition. */
struct RevocationTimer
{};

/** A newer configuration of a peer is due for a transfer, or a transfer for a
 * check of its progress. */
struct ConfigTransferTimer
{};

/** The agents of zones that were drained must be known by now. */
struct DrainedZonesTimer
{
  std::vector<std::string> m_zones;
};

/** The answer to a forwarded job is due at the latest. */
struct ForwardDeadlineTimer
{
  ForwardId m_forward;
};

/** Peers with open forwarded jobs may be due for a heartbeat, or silent. */
struct ForwardTimer
{};

/** Isolated queues may be due for their release. */
struct IsolationTimer
{};

/** Agents that were asked to use failing workers may be due for a renewal. */
struct QuarantineTimer
{};

using Timer = std::variant<DeadlineTimer,
                           StartByTimer,
                           OverdueTimer,
                           AgentLeaseTimer,
                           ClaimTimer,
                           ProbeTimer,
                           RetentionTimer,
                           DispatchTimer,
                           HeartbeatTimer,
                           RevocationTimer,
                           ConfigTransferTimer,
                           DrainedZonesTimer,
                           ForwardDeadlineTimer,
                           ForwardTimer,
                           IsolationTimer,
                           QuarantineTimer>;

/** Timers in the order of their due times. Timers are not cancelled: the
 * handler of a timer checks whether it still applies. */
class TimerQueue
{
public:
  void Add(Instant aAt, Timer aTimer)
  {
    m_queue.push({ aAt, m_sequence++, std::move(aTimer) });
  }

  Instant Next() const { return m_queue.empty() ? kNever : m_queue.top().m_at; }

  /** Removes timers from the front as long as @p aIsObsolete applies to them,
   * so that no one is woken for them. */
  template<typename Predicate>
  void DropObsolete(Predicate aIsObsolete)
  {
    while (!m_queue.empty() && aIsObsolete(m_queue.top().m_timer)) {
      m_queue.pop();
    }
  }

  /** Removes and returns the first timer. The queue must not be empty. */
  Timer Pop()
  {
    Timer timer = m_queue.top().m_timer;
    m_queue.pop();
    return timer;
  }

private:
  struct ScheduledTimer
  {
    Instant m_at;
    std::uint64_t m_sequence = 0;
    Timer m_timer;

    bool operator<(const ScheduledTimer& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_sequence > aOther.m_sequence;
    }
  };

  std::priority_queue<ScheduledTimer> m_queue;
  std::uint64_t m_sequence = 0;
};

} // namespace mulberrysail::core
