#include "core/internal/entry/runtimelearner.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** The newest run has the weight 1 / kMeanRunWindow in the moving average. */
constexpr int kMeanRunWindow = 32;

} // namespace

void
RunTimeLearner::Learn(EntryEventContext& aContext,
                      AgentRecord& aAgent,
                      const Submission& aSubmission,
                      const WorkItem& aItem)
{
  const Duration ran = std::max(aItem.m_ranFor, Duration(1));
  double slowdown = 1;
  if (aSubmission.m_kind == WorkKind::Request) {
    ServiceState& service = m_board.Service(aSubmission.m_service);
    aAgent.m_slowdown.Learn(aItem.m_expectedRun, ran);
    service.m_meanRun += (ran - service.m_meanRun) / kMeanRunWindow;
    slowdown = aAgent.m_slowdown.SlowdownFactor();
  } else if (m_board.m_policy.m_learnTaskSpeed &&
             !aSubmission.m_queue.empty()) {
    LearnTaskSpeed(aContext, aAgent, aSubmission, aItem);
    slowdown = m_board.m_taskSpeeds.SlowdownOf(aAgent.m_taskSlowdown);
  }
  m_board.RunTimesOf(aSubmission)
    .Learn(aItem.m_declaredRun,
           Duration(static_cast<Duration::rep>(
             static_cast<double>(ran.count()) / slowdown)));
}

void
RunTimeLearner::LearnTaskSpeed(EntryEventContext& aContext,
                               AgentRecord& aAgent,
                               const Submission& aJob,
                               const WorkItem& aItem)
{
  // A task runs much longer without its preferred label, on workers of any
  // speed.
  if (!aAgent.HasLabelOrNone(aItem.m_preferredLabel)) {
    return;
  }
  // Errors of the first estimates, which are the declared run times, would
  // count as the speed of the agents.
  const RunTimeModel& model = m_board.RunTimesOf(aJob);
  if (!model.IsLearned()) {
    return;
  }
  const bool used = m_board.m_taskSpeeds.Learn(
    aAgent.m_taskSlowdown, model.Estimate(aItem.m_declaredRun), aItem.m_ranFor);
  if (!used) {
    ++m_board.m_counters.m_longRuns;
    return;
  }
  const double slowdown =
    m_board.m_taskSpeeds.SlowdownOf(aAgent.m_taskSlowdown);
  const SpeedClass speed = ClassifySpeed(slowdown, aAgent.m_speedClass);
  if (speed != aAgent.m_speedClass) {
    aAgent.m_speedClass = speed;
    aContext.Record(EventCode::AgentSpeedLearned,
                    0,
                    DescribeProcess("agent", aAgent.m_id)
                      .Add("speed", SpeedClassName(speed))
                      .Add("slowdown", slowdown));
  }
}

} // namespace mulberrysail::core
