#pragma once

#include "core/tests/schedule_checks.h"
#include "core/tests/schedule_clock.h"
#include "core/tests/schedule_plan.h"
#include "core/tests/schedule_random.h"
#include "core/types/commands.h"
#include "core/types/events.h"

#include <functional>
#include <map>
#include <string>

namespace mulberrysail::core {

/** Simulates the endpoints and workers that execute runs. */
class ScheduleBackends
{
public:
  using Deliver = std::function<void(const ProcessId& aAgent, RunFinished)>;

  ScheduleBackends(ScheduleClock& aClock,
                   ScheduleRandom& aRandom,
                   const SchedulePlan& aPlan,
                   ScheduleChecks& aChecks,
                   Deliver aDeliver);

  void Start(const ProcessId& aAgent, const StartRun& aStart);
  void Stop(RunId aRun);

  /** Loses all runs of a backend, which then refuses connections for @p aFor.
   */
  void Crash(const std::string& aBackend, Duration aFor);
  /** @return whether a backend accepts connections. */
  bool IsUp(const std::string& aBackend) const;

  /** @return the number of runs that one incarnation of an agent has active. */
  std::size_t CountActiveRuns(const ProcessId& aAgent, WorkKind aKind) const;

private:
  struct ActiveRun
  {
    ProcessId m_agent;
    WorkKind m_kind = WorkKind::Request;
    std::string m_target;
  };

  void Execute(const ProcessId& aAgent,
               const StartRun& aStart,
               const std::string& aBackend);
  void End(RunId aRun, RunOutcome aOutcome, std::string aOutput);
  RunOutcome Outcome(const std::string& aBackend);

  ScheduleClock& m_clock;
  ScheduleRandom& m_random;
  const SchedulePlan& m_plan;
  ScheduleChecks& m_checks;
  Deliver m_deliver;
  std::map<RunId, ActiveRun> m_active;
  std::map<std::string, Instant> m_downUntil;
};

/** Number of slots of each endpoint. */
inline constexpr std::uint32_t kEndpointSlots = 2;

} // namespace mulberrysail::core
