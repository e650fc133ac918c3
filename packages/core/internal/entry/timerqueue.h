#pragma once

#include "core/internal/entry/submission.h"

#include <queue>
#include <variant>
#include <vector>

namespace mulberrysail::core {

struct DeadlineTimer
{
  SubmissionId m_submission;
};

/** The item's last useful start is near, or has come. */
struct StartByTimer
{
  WorkRef m_work;
};

/** The outcome of an attempt should have come by now. */
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

struct RetentionTimer
{
  SubmissionId m_submission;
};

/** Tries to place again what was refused everywhere. */
struct DispatchTimer
{};

/** Agents with open attempts may need a sign of life, or have given none. */
struct HeartbeatTimer
{};

using Timer = std::variant<DeadlineTimer,
                           StartByTimer,
                           OverdueTimer,
                           AgentLeaseTimer,
                           ClaimTimer,
                           ProbeTimer,
                           RetentionTimer,
                           DispatchTimer,
                           HeartbeatTimer>;

/** Timers by their time. They are not taken back: who handles one checks
 * whether it still means anything. */
class TimerQueue
{
public:
  void Add(Instant aAt, Timer aTimer)
  {
    m_queue.push({ aAt, m_sequence++, std::move(aTimer) });
  }

  Instant Next() const { return m_queue.empty() ? kNever : m_queue.top().m_at; }

  /** Takes the first timer. There must be one. */
  Timer Pop()
  {
    Timer timer = m_queue.top().m_timer;
    m_queue.pop();
    return timer;
  }

private:
  struct Entry
  {
    Instant m_at;
    std::uint64_t m_sequence = 0;
    Timer m_timer;

    bool operator<(const Entry& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_sequence > aOther.m_sequence;
    }
  };

  std::priority_queue<Entry> m_queue;
  std::uint64_t m_sequence = 0;
};

} // namespace mulberrysail::core
