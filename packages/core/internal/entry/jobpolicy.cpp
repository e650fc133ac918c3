#include "core/internal/entry/jobpolicy.h"

#include "core/internal/entry/jobsteps.h"
#include "core/internal/overloaded.h"

#include <algorithm>
#include <variant>

namespace mulberrysail::core {

namespace {

/** Share of the time to the objective that a job may spend waiting; the rest
 * allows for errors of the run time estimates. */
constexpr double kUsableSlack = 0.4;
/** The same for a late job and the time in which it is of use, which is longer,
 * so that an error of the estimate matters less. */
constexpr double kUsableLateSlack = 0.8;
/** The newest arrival has the weight 1 / kMeanWindow in the moving average. */
constexpr int kMeanWindow = 64;
/** Order of a job whose size equals its queue's mean. */
constexpr double kMeanOrder = 1e6;
constexpr double kMilliCores = 1000;
/** Share of the cores that late jobs are assumed to get at least; keeps the
 * estimate of their wait finite. */
constexpr double kMinLeftOver = 0.01;
/** Added to the latest start time of late jobs, for ordering only. Longer than
 * all waits, so that late jobs come after all others. */
constexpr Duration kLateDelay = std::chrono::hours(1);

double
CoreMicros(const WorkItem& aItem)
{
  return static_cast<double>(aItem.m_expectedRun.count()) *
         aItem.m_need.m_milliCores / kMilliCores;
}

Duration
FromMicros(double aMicros)
{
  return Duration(static_cast<Duration::rep>(aMicros));
}

Duration
ShareOf(Duration aSlack, double aShare)
{
  const Duration slack = std::max(aSlack, Duration::zero());
  return FromMicros(static_cast<double>(slack.count()) * aShare);
}

std::int64_t
SizeOrder(const EntryBoard& aBoard, const Submission& aJob)
{
  const auto queue = aBoard.m_queues.find(aJob.m_queue);
  const bool known = queue != aBoard.m_queues.end() &&
                     queue->second.m_meanCoreTime > Duration::zero();
  const double work = static_cast<double>(CoreTimeOf(aJob).count());
  const double mean =
    known ? static_cast<double>(queue->second.m_meanCoreTime.count()) : work;
  return static_cast<std::int64_t>(kMeanOrder * work / std::max(mean, 1.0));
}

} // namespace

Duration
CoreTimeOf(const Submission& aJob)
{
  double work = 0;
  for (const WorkItem& item : aJob.m_items) {
    work += CoreMicros(item);
  }
  return FromMicros(work);
}

Instant
LatestStartByPriority(const EntryBoard& aBoard, const Submission& aJob)
{
  const LeastSlackFirst* const policy =
    std::get_if<LeastSlackFirst>(&aBoard.m_policy.m_jobOrder);
  const Duration step =
    policy == nullptr ? Duration::zero() : policy->m_priorityStep;
  const Instant end =
    aJob.m_late ? aJob.m_usefulUntil + kLateDelay : aJob.m_due;
  return end - LongestChainOf(aJob) + step * aJob.m_priority;
}

std::int64_t
JobOrder(const EntryBoard& aBoard, const Submission& aJob)
{
  return std::visit(
    Overloaded{
      [&](const SmallestFirst&) { return SizeOrder(aBoard, aJob); },
      [&](const LeastSlackFirst&) {
        return static_cast<std::int64_t>(
          LatestStartByPriority(aBoard, aJob).time_since_epoch().count());
      } },
    aBoard.m_policy.m_jobOrder);
}

JobLoad
LoadAhead(EntryBoard& aBoard, Instant aNow, const Submission& aJob)
{
  JobLoad load;
  const std::int64_t order = JobOrder(aBoard, aJob);
  double ahead = 0;
  double waiting = 0;
  for (const WaitKey& key : aBoard.m_taskPool.m_queue.Ordered()) {
    if (key.m_work.m_submission == aJob.m_id) {
      continue;
    }
    const double work = CoreMicros(*aBoard.Find(key.m_work));
    ahead += key.m_order > order ? 0 : work;
    waiting += work;
  }
  // Work that waits at agents was offered by all entries and competes for the
  // whole capacity, so it is not scaled by the number of entries.
  double offered = 0;
  for (const AgentRecord* agent : aBoard.m_taskAgents) {
    offered += static_cast<double>(agent->m_load.m_queuedTaskWork.count());
    load.m_freeMilliCores += agent->m_load.m_freeCapacity.m_milliCores;
    load.m_oldestReport =
      std::max(load.m_oldestReport, aNow - agent->m_loadReceivedAt);
  }
  const double cores = std::max(aBoard.m_taskPool.m_parallelism, 1.0);
  load.m_coreTimeAhead = FromMicros(ahead);
  load.m_coreTimeAtAgents = FromMicros(offered);
  load.m_cores = cores;
  const double entries = aBoard.EntryCount();
  load.m_wait = FromMicros((ahead * entries + offered) / cores);
  load.m_arrivingCores = entries * aBoard.m_jobArrivals.AllBusySlots(aNow);
  const double leftOver =
    std::max(cores - load.m_arrivingCores, kMinLeftOver * cores);
  load.m_lateWait = FromMicros((waiting * entries + offered) / leftOver);
  const Duration run = LongestChainOf(aJob);
  load.m_maxWait = ShareOf(aJob.m_due - aNow - run, kUsableSlack);
  load.m_maxLateWait =
    ShareOf(aJob.m_usefulUntil - aNow - run, kUsableLateSlack);
  return load;
}

JobAdmission
DecideAdmission(const JobLoad& aLoad)
{
  if (aLoad.m_wait <= aLoad.m_maxWait) {
    return JobAdmission::InTime;
  }
  return CanBeDoneLate(aLoad) ? JobAdmission::Late : JobAdmission::Refused;
}

bool
CanBeDoneLate(const JobLoad& aLoad)
{
  return aLoad.m_lateWait <= aLoad.m_maxLateWait;
}

std::string
DescribeLoad(const JobLoad& aLoad)
{
  return EventDetail()
    .Add("wait_ms", aLoad.m_wait)
    .Add("most_ms", aLoad.m_maxWait)
    .Add("late_wait_ms", aLoad.m_lateWait)
    .Add("late_most_ms", aLoad.m_maxLateWait)
    .Add("ahead_core_ms", aLoad.m_coreTimeAhead)
    .Add("at_agents_core_ms", aLoad.m_coreTimeAtAgents)
    .Add("cores", aLoad.m_cores)
    .Add("arriving_cores", aLoad.m_arrivingCores)
    .Add("free_millicores", aLoad.m_freeMilliCores)
    .Add("oldest_report_ms", aLoad.m_oldestReport)
    .Text();
}

void
UpdateMeanCoreTime(EntryBoard& aBoard, const Submission& aJob)
{
  Duration& mean = aBoard.m_queues[aJob.m_queue].m_meanCoreTime;
  const Duration work = CoreTimeOf(aJob);
  mean = mean > Duration::zero() ? mean + (work - mean) / kMeanWindow : work;
}

} // namespace mulberrysail::core
