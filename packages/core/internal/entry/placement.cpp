#include "core/internal/entry/placement.h"

#include "core/internal/entry/jobsteps.h"
#include "core/internal/overloaded.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberrysail::core {

namespace {

/** Above this number of agents, a random sample is considered, so that the cost
 * of a decision is bounded for services of any size. */
constexpr std::size_t kMaxCandidates = 32;
/** Weight of the risk that other entries offer work for the same last slot. */
constexpr double kCollisionWeight = 0.5;
/** Upper bound of the random time that is added to the score of a request, so
 * that equal scores do not always select the same agent. */
constexpr double kMaxTieBreakMicros = 200;
// Parts of the score of a task. Each is greater than the sum of the possible
// differences of those above it, except that the zone and the speed are weighed
// against each other. The share of free capacity counts at most 1.
constexpr double kOtherZoneScore = 1;
/** Per unit of slowdown, so that a difference of 0.5 counts as much as the
 * zone. */
constexpr double kSlowdownScore = 2;
/** Slowdowns outside this range count as its ends. */
constexpr double kMinScoredSlowdown = 0.5;
constexpr double kMaxScoredSlowdown = 2.5;
/** Slowdowns that differ less from 1 count as 1. They are within the error of
 * learning, and equal workers must be compared by zone and free capacity. */
constexpr double kSlowdownTolerance = 0.1;
constexpr double kMissesObjectiveScore = 8;
constexpr double kOtherLabelScore = 16;
/** A worker that is warming up gets a task only if no other capacity is known
 * to be free. */
constexpr double kWarmingUpScore = 64;
constexpr double kNoFreeCapacityScore = 128;
constexpr double kNoCapacity = std::numeric_limits<double>::infinity();

double
Micros(Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

FreeCapacity
PredictFreeCapacity(const AgentRecord& aAgent)
{
  const Resources& reported = aAgent.m_load.m_freeCapacity;
  FreeCapacity free{ reported.m_milliCores,
                     reported.m_memoryMb,
                     reported.m_accelerators };
  for (const UnreflectedOffer& offer : aAgent.m_unreflectedOffers) {
    if (offer.m_kind == WorkKind::Task) {
      free.m_milliCores -= offer.m_need.m_milliCores;
      free.m_memoryMb -= offer.m_need.m_memoryMb;
      free.m_accelerators -= offer.m_need.m_accelerators;
    }
  }
  return free;
}

bool
IsAnyWarmingUp(const AgentRecord& aAgent)
{
  return std::any_of(
    aAgent.m_announced.m_workers.begin(),
    aAgent.m_announced.m_workers.end(),
    [](const WorkerInfo& aWorker) { return aWorker.m_warmingUp; });
}

std::int64_t
FreeSlots(std::uint32_t aFree, std::int64_t aTaken)
{
  return static_cast<std::int64_t>(aFree) - aTaken;
}

} // namespace

std::vector<AgentRecord*>
Placement::Sample(const std::vector<AgentRecord*>& aAgents, std::size_t aCount)
{
  std::vector<AgentRecord*> sample;
  if (aAgents.empty()) {
    return sample;
  }
  // Samples with replacement when the sample is small compared with all agents.
  if (aAgents.size() > 4 * aCount) {
    boost::random::uniform_int_distribution<std::size_t> any(
      0, aAgents.size() - 1);
    while (sample.size() < aCount) {
      sample.push_back(aAgents[any(m_board.m_random)]);
    }
    return sample;
  }
  sample = aAgents;
  for (std::size_t i = 0; i < std::min(aCount, sample.size()); ++i) {
    boost::random::uniform_int_distribution<std::size_t> rest(
      i, sample.size() - 1);
    std::swap(sample[i], sample[rest(m_board.m_random)]);
  }
  sample.resize(std::min(aCount, sample.size()));
  return sample;
}

std::vector<AgentRecord*>
Placement::SampleNearest(const std::vector<AgentRecord*>& aAgents,
                         std::size_t aCount)
{
  std::vector<AgentRecord*> near;
  std::vector<AgentRecord*> far;
  for (AgentRecord* const agent : aAgents) {
    if (agent->m_reachable) {
      const bool sameZone =
        agent->m_announced.m_zone == m_board.m_policy.m_zone;
      (sameZone ? near : far).push_back(agent);
    }
  }
  std::vector<AgentRecord*> sample =
    Sample(near, std::min(aCount, near.size()));
  const std::vector<AgentRecord*> rest =
    Sample(far, std::min(aCount - sample.size(), far.size()));
  sample.insert(sample.end(), rest.begin(), rest.end());
  return sample;
}

Placement::PredictedLoad
Placement::Predict(const AgentRecord& aAgent, WorkKind aKind)
{
  PredictedLoad load;
  std::int64_t taken = 0;
  for (const UnreflectedOffer& offer : aAgent.m_unreflectedOffers) {
    if (offer.m_kind == aKind) {
      ++taken;
      load.m_queuedWork += offer.m_expectedRun;
    }
  }
  const std::int64_t freeSlots = FreeSlots(aAgent.m_load.m_freeSlots, taken);
  load.m_freeSlots = std::max<std::int64_t>(freeSlots, 0);
  load.m_queued = static_cast<std::int64_t>(aAgent.m_load.m_queuedRequests) +
                  std::max<std::int64_t>(-freeSlots, 0);
  load.m_queuedWork += aAgent.m_load.m_queuedRequestWork;
  return load;
}

bool
Placement::HasCapacity(const AgentRecord& aAgent) const
{
  const PredictedLoad load = Predict(aAgent, WorkKind::Request);
  return load.m_freeSlots > 0 ||
         load.m_queued <
           static_cast<std::int64_t>(m_board.m_policy.m_agentQueueDepth);
}

double
Placement::RequestScore(const AgentRecord& aAgent,
                        const ServiceState& aService,
                        const WorkItem& aItem)
{
  const ReportedLoadPlacement* policy =
    std::get_if<ReportedLoadPlacement>(&m_board.m_policy.m_placement);
  const bool learn = policy != nullptr && policy->m_learnSpeed;
  const PredictedLoad load = Predict(aAgent, WorkKind::Request);
  const double slowdown = learn ? aAgent.m_slowdown.SlowdownFactor() : 1;
  const double slots = std::max(aAgent.EndpointSlots(), 1U);
  const double meanRun =
    Micros(std::max(aService.m_meanRun, aItem.m_expectedRun / 4));
  double score = Micros(aItem.m_expectedRun) * slowdown;
  if (PrefersOwnZone() &&
      aAgent.m_announced.m_zone != m_board.m_policy.m_zone) {
    score += 2 * Micros(m_board.m_policy.m_zoneDelay);
  }
  if (load.m_freeSlots > 0) {
    const double free = static_cast<double>(load.m_freeSlots);
    score += kCollisionWeight * meanRun * slowdown / slots / (free * free);
  } else {
    score += slowdown * (Micros(load.m_queuedWork) + meanRun) / slots;
  }
  boost::random::uniform_real_distribution<double> tie(0, kMaxTieBreakMicros);
  return score + tie(m_board.m_random);
}

AgentRecord*
Placement::LeastLoaded(const Submission& aSubmission,
                       const WorkItem& aItem,
                       const std::vector<AgentRecord*>& aCandidates)
{
  const ServiceState& service = m_board.Service(aSubmission.m_service);
  AgentRecord* best = nullptr;
  double bestScore = kNoCapacity;
  for (AgentRecord* agent : aCandidates) {
    if (!agent->ServesRequests(aSubmission.m_service) ||
        agent->RefusesForDrain()) {
      continue;
    }
    const double score = RequestScore(*agent, service, aItem);
    if (score < bestScore) {
      best = agent;
      bestScore = score;
    }
  }
  return best;
}

AgentRecord*
Placement::PickForRequest(const Submission& aSubmission,
                          const WorkItem& aItem,
                          const std::vector<AgentRecord*>* aCandidates)
{
  const std::vector<AgentRecord*>& all =
    aCandidates != nullptr ? *aCandidates
                           : m_board.Service(aSubmission.m_service).m_agents;
  return std::visit(
    Overloaded{ [&](const RandomPlacement&) {
                 return LeastLoaded(aSubmission, aItem, Sample(all, 1));
               },
                [&](const ProbePlacement&) {
                  return LeastLoaded(aSubmission, aItem, Sample(all, 1));
                },
                [&](const ReportedLoadPlacement&) {
                  std::vector<AgentRecord*> agentsWithCapacity;
                  const std::vector<AgentRecord*> sample =
                    all.size() > kMaxCandidates ? Sample(all, kMaxCandidates)
                                                : all;
                  std::copy_if(sample.begin(),
                               sample.end(),
                               std::back_inserter(agentsWithCapacity),
                               [&](const AgentRecord* aAgent) {
                                 return HasCapacity(*aAgent) &&
                                        aAgent->m_id !=
                                          aItem.m_lastAttemptedAgent;
                               });
                  return LeastLoaded(aSubmission, aItem, agentsWithCapacity);
                } },
    m_board.m_policy.m_placement);
}

bool
Placement::PrefersOwnZone() const
{
  const ReportedLoadPlacement* const policy =
    std::get_if<ReportedLoadPlacement>(&m_board.m_policy.m_placement);
  return policy != nullptr && policy->m_zoneAffinity;
}

double
Placement::SpeedScore(const AgentRecord& aAgent,
                      const Submission& aJob,
                      const WorkItem& aItem,
                      Instant aNow) const
{
  if (!m_board.m_policy.m_learnTaskSpeed) {
    return 0;
  }
  const double slowdown =
    m_board.m_taskSpeeds.SlowdownOf(aAgent.m_taskSlowdown);
  // A job without a queue has no objective.
  const bool sameZone = aAgent.m_announced.m_zone == m_board.m_policy.m_zone;
  const Duration run(
    static_cast<Duration::rep>(Micros(aItem.m_expectedRun) * slowdown));
  const Duration delays =
    sameZone ? Duration::zero() : 2 * m_board.m_policy.m_zoneDelay;
  const bool misses = !aJob.m_queue.empty() &&
                      aNow + run + aItem.m_successorRun + delays > aJob.m_due;
  const double scored =
    std::abs(slowdown - 1) < kSlowdownTolerance
      ? 1
      : std::clamp(slowdown, kMinScoredSlowdown, kMaxScoredSlowdown);
  return kSlowdownScore * (scored - 1) + (misses ? kMissesObjectiveScore : 0);
}

double
Placement::TaskScore(const AgentRecord& aAgent,
                     const Submission& aJob,
                     const WorkItem& aItem,
                     Instant aNow)
{
  const bool refused = aAgent.m_id == aItem.m_lastAttemptedAgent &&
                       aAgent.m_loadReceivedAt <= aItem.m_lastAttemptEndedAt;
  if (!aAgent.ServesTasks() || aAgent.RefusesForDrain() || refused ||
      HasReachedStepLimit(aJob, aItem, aAgent.m_id)) {
    return kNoCapacity;
  }
  const FreeCapacity free = PredictFreeCapacity(aAgent);
  std::int64_t waiting = aAgent.m_load.m_queuedTasks;
  double queuedWorkMicros = Micros(aAgent.m_load.m_queuedTaskWork);
  const Resources& need = aItem.m_need;
  double capacity = 0;
  bool anyWorkerCanRun = false;
  bool warmingUp = true;
  bool preferred = aItem.m_preferredLabel.empty();
  for (const WorkerInfo& worker : aAgent.m_announced.m_workers) {
    if (!worker.m_quarantined) {
      capacity += worker.m_capacity.m_milliCores;
      const bool canRun =
        CanRun(worker, aJob.m_service, aItem.m_requiredLabel, need);
      anyWorkerCanRun = anyWorkerCanRun || canRun;
      warmingUp = warmingUp && (worker.m_warmingUp || !canRun);
      preferred = preferred || worker.HasLabel(aItem.m_preferredLabel);
    }
  }
  if (!anyWorkerCanRun || capacity <= 0) {
    return kNoCapacity;
  }
  if (free.Fits(need)) {
    // Free capacity at an agent with the preferred label, where the task runs
    // fastest, ranks before free capacity at a fast agent or in the entry's
    // zone, and that before free capacity at any other agent.
    const bool sameZone = aAgent.m_announced.m_zone == m_board.m_policy.m_zone;
    return (warmingUp ? kWarmingUpScore : 0) +
           (preferred ? 0 : kOtherLabelScore) +
           (sameZone || !PrefersOwnZone() ? 0 : kOtherZoneScore) +
           SpeedScore(aAgent, aJob, aItem, aNow) -
           static_cast<double>(free.m_milliCores) / capacity;
  }
  waiting += std::max<std::int64_t>(-free.m_milliCores, 0) /
             std::max<std::int64_t>(need.m_milliCores, 1);
  const std::int64_t depth =
    static_cast<std::int64_t>(m_board.m_policy.m_agentQueueDepth) *
    static_cast<std::int64_t>(aAgent.m_announced.m_workers.size());
  return waiting < depth ? kNoFreeCapacityScore + queuedWorkMicros / capacity
                         : kNoCapacity;
}

FreeCapacity
Placement::LargestFreeCapacity(const std::vector<AgentRecord*>& aAgents)
{
  m_board.m_counters.m_agentsCompared += aAgents.size();
  FreeCapacity largest;
  for (const AgentRecord* const agent : aAgents) {
    const FreeCapacity free = PredictFreeCapacity(*agent);
    largest.m_milliCores = std::max(largest.m_milliCores, free.m_milliCores);
    largest.m_memoryMb = std::max(largest.m_memoryMb, free.m_memoryMb);
    largest.m_accelerators =
      std::max(largest.m_accelerators, free.m_accelerators);
  }
  return largest;
}

AgentRecord*
Placement::PickForTask(const Submission& aJob,
                       const WorkItem& aItem,
                       Instant aNow)
{
  const std::vector<AgentRecord*>& all = m_board.PoolOf(aJob, aItem).m_agents;
  const bool byLoad =
    std::holds_alternative<ReportedLoadPlacement>(m_board.m_policy.m_placement);
  const std::size_t considered = byLoad ? kMaxCandidates : 1;
  const std::vector<AgentRecord*> sample =
    all.size() > considered ? Sample(all, considered) : all;
  const ScoredAgent best = BestForTask(aJob, aItem, sample, aNow);
  // The agents outside the sample may have capacity on workers that aren't
  // warming up.
  const bool mustCompareAll =
    byLoad && sample.size() < all.size() && best.m_agent != nullptr &&
    best.m_score > kWarmingUpScore / 2 && best.m_score < kNoFreeCapacityScore &&
    IsAnyWarmingUp(*best.m_agent);
  return mustCompareAll ? BestForTask(aJob, aItem, all, aNow).m_agent
                        : best.m_agent;
}

Placement::ScoredAgent
Placement::BestForTask(const Submission& aJob,
                       const WorkItem& aItem,
                       const std::vector<AgentRecord*>& aAgents,
                       Instant aNow)
{
  m_board.m_counters.m_agentsCompared += aAgents.size();
  ScoredAgent best{ nullptr, kNoCapacity };
  for (AgentRecord* agent : aAgents) {
    const double score = TaskScore(*agent, aJob, aItem, aNow);
    if (score < best.m_score) {
      best = { agent, score };
    }
  }
  return best;
}

} // namespace mulberrysail::core
