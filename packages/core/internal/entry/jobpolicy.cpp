#include "core/internal/entry/jobpolicy.h"

#include "core/internal/entry/jobsteps.h"
#include "core/internal/entry/lostruns.h"
#include "core/internal/overloaded.h"

#include <algorithm>
#include <variant>

namespace mulberrysail::core {

namespace {

/** Share of the time to the objective that a job may spend waiting; the rest
 * allows for errors of the run time estimates. */
constexpr double kUsableSlack = 0.4;
/** The newest arrival has the weight 1 / kMeanWindow in the moving average. */
constexpr int kMeanWindow = 64;
/** Order of a job whose size equals its queue's mean. */
constexpr double kMeanOrder = 1e6;
constexpr double kMilliCores = 1000;

double
CoreMicros(const WorkItem& aItem)
{
  return static_cast<double>(aItem.m_meanRun.count()) *
         aItem.m_need.m_milliCores / kMilliCores;
}

Duration
FromMicros(double aMicros)
{
  return Duration(static_cast<Duration::rep>(aMicros));
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
  return aJob.m_due - LongestChainOf(aJob) + step * aJob.m_priority;
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
  const WaitPool& pool =
    IsIsolated(aBoard, aJob) ? aBoard.m_isolatedPool : aBoard.m_taskPool;
  load.m_coreTimeAhead = pool.m_queue.CoreTimeUpTo(JobOrder(aBoard, aJob));
  // Work that waits at agents was offered by all entries and competes for the
  // whole capacity, so it is not scaled by the number of entries.
  double offered = 0;
  for (const AgentRecord* agent : pool.m_agents) {
    offered += static_cast<double>(agent->m_load.m_queuedTaskWork.count());
    load.m_freeMilliCores += agent->m_load.m_freeCapacity.m_milliCores;
    load.m_oldestReport =
      std::max(load.m_oldestReport, aNow - agent->m_loadReceivedAt);
  }
  const double cores = std::max(pool.m_parallelism, 1.0);
  load.m_coreTimeAtAgents = FromMicros(offered);
  load.m_cores = pool.m_parallelism;
  const double ahead = static_cast<double>(load.m_coreTimeAhead.count());
  double waiting = ahead * aBoard.EntryCount();
  if (aBoard.m_policy.m_sharedDemand) {
    load.m_others = DemandView(aBoard).OthersUpTo(aNow, aJob.m_priority);
    waiting = ahead + static_cast<double>(load.m_others->m_coreTime.count());
  }
  // The offers of the job wait behind those that are not sent yet.
  load.m_messageDelay = aBoard.m_messageProgress.Delay();
  load.m_wait = FromMicros((waiting + offered) / cores) + load.m_messageDelay;
  const Duration slack =
    std::max(aJob.m_due - aNow - LongestChainOf(aJob), Duration::zero());
  load.m_maxWait =
    FromMicros(static_cast<double>(slack.count()) * kUsableSlack);
  return load;
}

std::string
DescribeLoad(const JobLoad& aLoad)
{
  EventDetail detail;
  detail.Add("wait_ms", aLoad.m_wait)
    .Add("most_ms", aLoad.m_maxWait)
    .Add("message_delay_ms", aLoad.m_messageDelay)
    .Add("ahead_core_ms", aLoad.m_coreTimeAhead);
  if (aLoad.m_others) {
    detail.Add("others_core_ms", aLoad.m_others->m_coreTime);
    if (aLoad.m_others->m_age) {
      detail.Add("others_age_ms", *aLoad.m_others->m_age);
    } else {
      detail.Add("others_age_ms", "none");
    }
  }
  return detail.Add("at_agents_core_ms", aLoad.m_coreTimeAtAgents)
    .Add("cores", aLoad.m_cores)
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
