#pragma once

#include "core/tests/schedule_clock.h"
#include "core/types/ids.h"

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace mulberrysail::core {

/** Simulates a process with a core: it can be started, paused and ended. */
template<typename Core, typename Event, typename Commands>
class ScheduleProcess
{
public:
  using Execute = std::function<void(Commands&)>;

  ScheduleProcess(ScheduleClock& aClock, Execute aExecute)
    : m_clock(aClock)
    , m_execute(std::move(aExecute))
  {
  }

  /** @param aOffset how far the clock of the process is ahead of virtual time.
   */
  void Boot(ProcessId aId, std::unique_ptr<Core> aCore, Duration aOffset)
  {
    m_id = std::move(aId);
    m_core = std::move(aCore);
    m_offset = aOffset;
    m_alive = true;
    m_paused = false;
    m_wakeAt = kNever;
    m_inbox.clear();
    ++m_bootCount;
  }

  void End() { m_alive = false; }

  void Pause(Duration aFor)
  {
    m_paused = true;
    m_clock.After(aFor, [this, bootCount = m_bootCount] {
      if (m_alive && m_bootCount == bootCount) {
        Resume();
      }
    });
  }

  /** Passes an event to the core, or queues it while the process is paused. */
  void HandleEvent(Event aEvent)
  {
    if (!m_alive) {
      return;
    }
    if (m_paused) {
      m_inbox.push_back(std::move(aEvent));
      return;
    }
    Commands commands;
    m_core->Handle(m_clock.Now() + m_offset, std::move(aEvent), commands);
    m_execute(commands);
    if (m_alive) {
      ScheduleWakeUp();
    }
  }

  const ProcessId& Id() const { return m_id; }
  const Core& GetCore() const { return *m_core; }
  bool Alive() const { return m_alive; }
  bool Paused() const { return m_paused; }

private:
  /** TimerFired, which has the same index in both event types. */
  using TimerEvent = std::variant_alternative_t<3, Event>;

  void Resume()
  {
    m_paused = false;
    m_wakeAt = kNever;
    // Events queued during the pause are handled before the timer.
    std::deque<Event> inbox = std::move(m_inbox);
    m_inbox.clear();
    for (Event& event : inbox) {
      HandleEvent(std::move(event));
    }
    HandleEvent(TimerEvent{});
  }

  void ScheduleWakeUp()
  {
    const Instant wake = m_core->NextWake();
    if (wake == kNever) {
      return;
    }
    const Instant when = wake - m_offset;
    if (when >= m_wakeAt) {
      return;
    }
    m_wakeAt = when;
    m_clock.At(when, [this, when, bootCount = m_bootCount] {
      if (m_alive && !m_paused && m_bootCount == bootCount &&
          m_wakeAt == when) {
        m_wakeAt = kNever;
        HandleEvent(TimerEvent{});
      }
    });
  }

  ScheduleClock& m_clock;
  Execute m_execute;
  ProcessId m_id;
  std::unique_ptr<Core> m_core;
  Duration m_offset{};
  std::uint64_t m_bootCount = 0;
  bool m_alive = false;
  bool m_paused = false;
  Instant m_wakeAt = kNever;
  std::deque<Event> m_inbox;
};

} // namespace mulberrysail::core
