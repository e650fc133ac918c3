#include "core/tests/schedule_backends.h"

namespace mulberrysail::core {

namespace {

constexpr Duration kReplyDelay = std::chrono::milliseconds(1);
constexpr Duration kShortestRun = std::chrono::milliseconds(20);
constexpr Duration kLongestUsualRun = std::chrono::milliseconds(500);
constexpr Duration kLongestRun = std::chrono::seconds(3);
constexpr double kLongRunProbability = 0.05;
constexpr double kRepeatedOutcomeProbability = 0.02;
constexpr double kMutationProbability = 0.2;

} // namespace

ScheduleBackends::ScheduleBackends(ScheduleClock& aClock,
                                   ScheduleRandom& aRandom,
                                   const SchedulePlan& aPlan,
                                   ScheduleChecks& aChecks,
                                   Deliver aDeliver)
  : m_clock(aClock)
  , m_random(aRandom)
  , m_plan(aPlan)
  , m_checks(aChecks)
  , m_deliver(std::move(aDeliver))
{
}

void
ScheduleBackends::Start(const ProcessId& aAgent, const StartRun& aStart)
{
  // The endpoint of each agent is simulated as a separate machine.
  const std::string backend = aStart.m_target.m_kind == WorkKind::Request
                                ? "endpoint of " + aAgent.m_name
                                : aStart.m_target.m_name;
  if (!IsUp(backend) || m_random.Chance(m_plan.m_refusalProbability)) {
    m_clock.After(kReplyDelay, [this, aAgent, run = aStart.m_run] {
      m_deliver(aAgent, RunFinished{ run, RunOutcome::NeverSent, {} });
    });
    return;
  }
  Execute(aAgent, aStart, backend);
  if (m_plan.m_mutation == Mutation::StartTwice &&
      m_random.Chance(kMutationProbability)) {
    Execute(aAgent, aStart, backend);
  }
}

void
ScheduleBackends::Execute(const ProcessId& aAgent,
                          const StartRun& aStart,
                          const std::string& aBackend)
{
  m_checks.RunStarted(aStart.m_run, aStart.m_payload);
  const WorkKind kind = aStart.m_target.m_kind;
  m_active[aStart.m_run] = { aAgent, kind, aBackend };
  if (kind == WorkKind::Request &&
      CountActiveRuns(aAgent, kind) > kEndpointSlots) {
    m_checks.Fail("expected at most " + std::to_string(kEndpointSlots) +
                  " running requests at " + aBackend + ", got " +
                  std::to_string(CountActiveRuns(aAgent, kind)));
  }
  const Duration runs = m_random.Between(
    kShortestRun,
    m_random.Chance(kLongRunProbability) ? kLongestRun : kLongestUsualRun);
  m_clock.After(
    runs,
    [this,
     run = aStart.m_run,
     outcome = Outcome(aBackend),
     output = OutputOf(aStart.m_payload)] { End(run, outcome, output); });
}

RunOutcome
ScheduleBackends::Outcome(const std::string& aBackend)
{
  if (m_plan.m_failingWorker && aBackend == "worker0") {
    return RunOutcome::Failed;
  }
  if (m_random.Chance(m_plan.m_runFailureProbability)) {
    return RunOutcome::Failed;
  }
  return m_random.Chance(m_plan.m_runLossProbability) ? RunOutcome::Lost
                                                      : RunOutcome::Completed;
}

void
ScheduleBackends::End(RunId aRun, RunOutcome aOutcome, std::string aOutput)
{
  const auto found = m_active.find(aRun);
  if (found == m_active.end()) {
    return;
  }
  const ProcessId agent = found->second.m_agent;
  m_active.erase(found);
  const RunFinished finished{ aRun,
                              aOutcome,
                              aOutcome == RunOutcome::Completed
                                ? std::move(aOutput)
                                : std::string() };
  m_deliver(agent, finished);
  if (m_random.Chance(kRepeatedOutcomeProbability)) {
    m_deliver(agent, finished);
  }
}

void
ScheduleBackends::Stop(RunId aRun)
{
  m_clock.After(kReplyDelay,
                [this, aRun] { End(aRun, RunOutcome::Failed, {}); });
}

void
ScheduleBackends::Crash(const std::string& aBackend, Duration aFor)
{
  m_downUntil[aBackend] = m_clock.Now() + aFor;
  std::vector<RunId> ended;
  for (const auto& [run, active] : m_active) {
    if (active.m_target == aBackend) {
      ended.push_back(run);
    }
  }
  for (const RunId run : ended) {
    End(run, RunOutcome::Lost, {});
  }
}

bool
ScheduleBackends::IsUp(const std::string& aBackend) const
{
  const auto down = m_downUntil.find(aBackend);
  return down == m_downUntil.end() || down->second <= m_clock.Now();
}

std::size_t
ScheduleBackends::CountActiveRuns(const ProcessId& aAgent, WorkKind aKind) const
{
  std::size_t count = 0;
  for (const auto& [run, active] : m_active) {
    count += active.m_agent == aAgent && active.m_kind == aKind ? 1 : 0;
  }
  return count;
}

} // namespace mulberrysail::core
