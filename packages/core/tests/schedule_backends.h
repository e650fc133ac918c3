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

/** Stands in for the endpoints and workers. */
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

  /** Ends what runs at a target, which refuses connections for a while. */
  void Crash(const std::string& aTarget, Duration aFor);
  bool IsUp(const std::string& aTarget) const;

  /** @return the runs that a life of an agent waits for. */
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
               const std::string& aTarget);
  void End(RunId aRun, RunOutcome aOutcome, std::string aOutput);
  RunOutcome Outcome(const std::string& aTarget);

  ScheduleClock& m_clock;
  ScheduleRandom& m_random;
  const SchedulePlan& m_plan;
  ScheduleChecks& m_checks;
  Deliver m_deliver;
  std::map<RunId, ActiveRun> m_active;
  std::map<std::string, Instant> m_downUntil;
};

/** Slots of each endpoint. */
inline constexpr std::uint32_t kEndpointSlots = 2;

} // namespace mulberrysail::core
