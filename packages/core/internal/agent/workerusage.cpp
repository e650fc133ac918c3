#include "core/internal/agent/workerusage.h"

#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/membership.h"

#include <algorithm>
#include <cmath>

namespace mulberrysail::core::agent {

namespace {

constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;
/** Relative step by which a factor follows the observed usage. */
constexpr double kLearningRate = 0.2;
/** Share of the tasks that should stay within their reservation. */
constexpr double kCoreQuantile = 0.9;
constexpr double kMemoryQuantile = 0.98;
constexpr std::size_t kMaxServices = 4096;
constexpr std::uint32_t kPercent = 100;
/** Low bits of a run id are a counter; the others identify the agent
 * incarnation. */
constexpr std::uint64_t kRunCounterMask = 0xFFFFFFFFULL;

/** Moves the factor towards the quantile of the ratio of used to declared
 * resources: up in proportion to the quantile, down in proportion to its
 * complement. */
double
AdjustFactor(double aFactor,
             double aQuantile,
             std::uint32_t aUsed,
             std::uint32_t aDeclared)
{
  if (aDeclared == 0 || aUsed == 0) {
    return aFactor;
  }
  const double ratio = static_cast<double>(aUsed) / aDeclared;
  const double step = ratio > aFactor ? aQuantile : aQuantile - 1.0;
  return std::clamp(
    aFactor * (1.0 + kLearningRate * step), kMinFactor, kMaxFactor);
}

std::uint32_t
Scale(std::uint32_t aDeclared, double aFactor, std::uint32_t aCapacity)
{
  const std::int64_t scaled =
    std::llround(static_cast<double>(aDeclared) * aFactor);
  return static_cast<std::uint32_t>(std::min<std::int64_t>(scaled, aCapacity));
}

std::uint32_t
FreeAmount(std::uint32_t aCapacity,
           std::uint32_t aPercent,
           std::uint32_t aReserved,
           std::uint32_t aForeign)
{
  const std::int64_t usable =
    static_cast<std::int64_t>(aCapacity) * aPercent / kPercent;
  const std::int64_t left = usable - aReserved - aForeign;
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

} // namespace

void
AddResources(Resources& aSum, const Resources& aPart)
{
  aSum.m_milliCores += aPart.m_milliCores;
  aSum.m_memoryMb += aPart.m_memoryMb;
  aSum.m_accelerators += aPart.m_accelerators;
}

void
SubtractResources(Resources& aSum, const Resources& aPart)
{
  aSum.m_milliCores -= aPart.m_milliCores;
  aSum.m_memoryMb -= aPart.m_memoryMb;
  aSum.m_accelerators -= aPart.m_accelerators;
}

Resources
FreeCapacity(const AgentBoard& aBoard, const Worker& aWorker)
{
  const Breaker& breaker = aWorker.m_breaker;
  if (!IsLive(aBoard, aWorker) || breaker.m_state == BreakerState::Open ||
      !CanStartRuns(aBoard, aWorker)) {
    return {};
  }
  const Resources& capacity = aWorker.m_info.m_capacity;
  const Resources& reservation = aWorker.m_reserved;
  const Resources& foreign = aWorker.m_foreignUsage;
  // A task that runs alone on the worker may use more than the breaker's share.
  const std::uint32_t percent =
    aWorker.m_runningTasks == 0 ? kPercent : breaker.m_capacityPercent;
  if (breaker.m_state == BreakerState::Probing && aWorker.m_runningTasks > 0) {
    return {};
  }
  return { FreeAmount(capacity.m_milliCores,
                      percent,
                      reservation.m_milliCores,
                      foreign.m_milliCores),
           FreeAmount(capacity.m_memoryMb,
                      percent,
                      reservation.m_memoryMb,
                      foreign.m_memoryMb),
           FreeAmount(capacity.m_accelerators,
                      kPercent,
                      reservation.m_accelerators,
                      foreign.m_accelerators) };
}

void
WorkerUsage::ApplyUsage(Worker& aWorker, std::span<const TaskUsage> aUsage)
{
  aWorker.m_foreignUsage = {};
  for (const TaskUsage& usage : aUsage) {
    const bool own = (usage.m_run.m_value & ~kRunCounterMask) ==
                     m_board.m_attempts.m_runPrefix;
    if (!own) {
      AddResources(aWorker.m_foreignUsage, usage.m_used);
      continue;
    }
    const auto run = m_board.m_attempts.m_byRun.find(usage.m_run);
    if (run == m_board.m_attempts.m_byRun.end()) {
      continue;
    }
    Attempt& attempt = m_board.m_attempts.m_open.at(run->second);
    if (attempt.m_worker != aWorker.m_info.m_name) {
      continue;
    }
    attempt.m_peakUsage.RaiseTo(usage.m_used);
    SubtractResources(aWorker.m_reserved, attempt.m_reserved);
    attempt.m_reserved.RaiseTo(usage.m_used);
    AddResources(aWorker.m_reserved, attempt.m_reserved);
  }
}

void
WorkerUsage::Learn(const Attempt& aAttempt)
{
  const Offer& offer = aAttempt.m_offer;
  const bool known = m_board.m_learning.contains(offer.m_service);
  if (!known && m_board.m_learning.size() >= kMaxServices) {
    return;
  }
  NeedFactors& factors = m_board.m_learning[offer.m_service];
  factors.m_cores = AdjustFactor(factors.m_cores,
                                 kCoreQuantile,
                                 aAttempt.m_peakUsage.m_milliCores,
                                 offer.m_need.m_milliCores);
  factors.m_memory = AdjustFactor(factors.m_memory,
                                  kMemoryQuantile,
                                  aAttempt.m_peakUsage.m_memoryMb,
                                  offer.m_need.m_memoryMb);
}

Resources
WorkerUsage::ReservationFor(const Offer& aOffer, const Worker& aWorker) const
{
  if (m_board.m_policy.m_reserveDeclared) {
    return aOffer.m_need;
  }
  const auto place = m_board.m_learning.find(aOffer.m_service);
  const NeedFactors factors =
    place == m_board.m_learning.end() ? NeedFactors{} : place->second;
  const Resources& capacity = aWorker.m_info.m_capacity;
  return {
    Scale(aOffer.m_need.m_milliCores, factors.m_cores, capacity.m_milliCores),
    Scale(aOffer.m_need.m_memoryMb, factors.m_memory, capacity.m_memoryMb),
    aOffer.m_need.m_accelerators
  };
}

} // namespace mulberrysail::core::agent
