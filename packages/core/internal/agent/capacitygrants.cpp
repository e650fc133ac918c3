#include "core/internal/agent/capacitygrants.h"

#include "core/internal/agent/reporter.h"
#include "core/internal/agent/workerusage.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Time without a statement after which an entry's demand counts as zero. */
constexpr Duration kDemandDecay = std::chrono::seconds(1);
/** Lower limit of a portion, in thousandths of a core. */
constexpr std::uint32_t kMinPortionMilliCores = 1000;
/** Tasks need up to a quarter less than the mean, so a smaller remainder is
 * still granted if it is at least this share of the mean need, in quarters. */
constexpr std::uint32_t kSmallestPortionQuarters = 3;
constexpr std::uint32_t kQuarters = 4;
Resources
Portion(const AgentBoard& aBoard)
{
  return { std::max(aBoard.m_workers.m_meanNeedMilliCores,
                    kMinPortionMilliCores),
           aBoard.m_workers.m_meanNeedMemoryMb,
           0 };
}

/** @return whether the entry is sent a report with the current event even
 * without a grant. */
bool
IsReportDue(const EntryRecord& aEntry)
{
  return !aEntry.m_reports.empty() || aEntry.m_loadRequested;
}

std::uint32_t
Difference(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : 0;
}

/** @return @p aLeft minus @p aRight, at least zero. */
Resources
Difference(const Resources& aLeft, const Resources& aRight)
{
  return { Difference(aLeft.m_milliCores, aRight.m_milliCores),
           Difference(aLeft.m_memoryMb, aRight.m_memoryMb),
           Difference(aLeft.m_accelerators, aRight.m_accelerators) };
}

Resources
Smaller(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.m_milliCores, aRight.m_milliCores),
           std::min(aLeft.m_memoryMb, aRight.m_memoryMb),
           std::min(aLeft.m_accelerators, aRight.m_accelerators) };
}

/** @return the share of a statement that still counts. */
double
RemainingShare(const AgentBoard& aBoard, const StatedDemand& aStated)
{
  const double age =
    static_cast<double>((aBoard.m_now - aStated.m_receivedAt).count());
  return std::max(1 - age / static_cast<double>(kDemandDecay.count()), 0.0);
}

template<typename T>
T
Scaled(T aValue, double aShare)
{
  return static_cast<T>(static_cast<double>(aValue) * aShare);
}

void
AddWork(std::map<std::uint32_t, Duration>& aSums,
        const std::vector<PriorityWork>& aWork,
        double aShare)
{
  for (const PriorityWork& part : aWork) {
    aSums[part.m_priority] += Duration(Scaled(part.m_coreTime.count(), aShare));
  }
}

std::vector<PriorityWork>
ToList(const std::map<std::uint32_t, Duration>& aSums)
{
  std::vector<PriorityWork> work;
  for (const auto& [priority, coreTime] : aSums) {
    if (coreTime > Duration::zero()) {
      work.push_back({ priority, coreTime });
    }
  }
  return work;
}

} // namespace

Demand
CurrentDemand(const AgentBoard& aBoard, const EntryRecord& aEntry)
{
  Demand total;
  total.m_earliestDispatch = kNever;
  std::map<std::uint32_t, Duration> work;
  for (const auto& [shard, stated] : aEntry.m_demands) {
    const double share = RemainingShare(aBoard, stated);
    const std::uint64_t cores = Scaled(stated.m_demand.m_milliCores, share);
    if (cores > 0) {
      total.m_milliCores += cores;
      total.m_earliestDispatch =
        std::min(total.m_earliestDispatch, stated.m_demand.m_earliestDispatch);
      AddWork(work, stated.m_demand.m_work, share);
    }
  }
  total.m_work = ToList(work);
  return total;
}

std::vector<PriorityWork>
DemandOfOthers(const AgentBoard& aBoard, const EntryRecord& aEntry)
{
  std::map<std::uint32_t, Duration> work;
  for (const auto& [index, other] : aBoard.m_entries.m_records) {
    if (&other == &aEntry) {
      continue;
    }
    for (const auto& [shard, stated] : other.m_demands) {
      AddWork(work, stated.m_demand.m_work, RemainingShare(aBoard, stated));
    }
  }
  return ToList(work);
}

Resources
FreeCapacityFor(const AgentBoard& aBoard,
                const EntryRecord& aEntry,
                Resources aFree)
{
  if (aBoard.m_policy.m_capacityGrant <= Duration::zero()) {
    return aFree;
  }
  for (const auto& [index, other] : aBoard.m_entries.m_records) {
    if (&other != &aEntry) {
      aFree = Difference(aFree, other.m_grant.m_capacity);
    }
  }
  return aFree;
}

Instant
NextGrantEnd(const AgentBoard& aBoard)
{
  Instant next = kNever;
  for (const auto& [index, entry] : aBoard.m_entries.m_records) {
    if (entry.m_grant.IsOpen()) {
      next = std::min(next, entry.m_grant.m_until);
    }
  }
  return next;
}

std::uint32_t
SmallestUsableMilliCores(const AgentBoard& aBoard)
{
  return std::max(Portion(aBoard).m_milliCores / kQuarters *
                    kSmallestPortionQuarters,
                  kMinPortionMilliCores);
}

void
CapacityGrants::RecordDemand(EntryRecord& aEntry,
                             std::uint8_t aShard,
                             const std::optional<Demand>& aDemand)
{
  if (!aDemand) {
    return;
  }
  aEntry.m_demands[aShard] = { *aDemand, m_board.m_now };
  aEntry.m_grantUnused = false;
  const std::uint64_t needed = CurrentDemand(m_board, aEntry).m_milliCores;
  if (needed == 0) {
    aEntry.m_grant = {};
  }
}

void
CapacityGrants::CountAccepted(EntryRecord& aEntry, const Offer& aOffer)
{
  if (aOffer.m_kind != WorkKind::Task ||
      m_board.m_policy.m_capacityGrant <= Duration::zero()) {
    return;
  }
  // What the entry was told is free includes this offer.
  aEntry.m_lastLoad.m_freeCapacity =
    Difference(aEntry.m_lastLoad.m_freeCapacity, aOffer.m_need);
  if (aEntry.m_grant.IsOpen()) {
    ++m_board.m_counters.m_offersWithinGrant;
    aEntry.m_grant.m_capacity =
      Difference(aEntry.m_grant.m_capacity, aOffer.m_need);
  }
}

void
CapacityGrants::Update()
{
  if (m_board.m_policy.m_capacityGrant <= Duration::zero()) {
    return;
  }
  EndExpired();
  if (!m_board.m_draining) {
    Assign();
  }
}

void
CapacityGrants::EndExpired()
{
  for (auto& [index, entry] : m_board.m_entries.m_records) {
    if (!entry.m_grant.IsOpen()) {
      continue;
    }
    if (entry.m_unreachable || m_board.m_draining) {
      entry.m_grant = {};
    } else if (entry.m_grant.m_until <= m_board.m_now) {
      ++m_board.m_counters.m_grantsExpired;
      entry.m_grant = {};
      entry.m_grantUnused = true;
    }
  }
}

std::uint64_t
CapacityGrants::UnmetMilliCores(const EntryRecord& aEntry) const
{
  const std::uint64_t granted = aEntry.m_grant.m_capacity.m_milliCores;
  if (CurrentDemand(m_board, aEntry).m_milliCores <= granted) {
    return 0;
  }
  std::uint64_t stated = 0;
  for (const auto& [shard, last] : aEntry.m_demands) {
    stated += last.m_demand.m_milliCores;
  }
  return stated - granted;
}

bool
CapacityGrants::CanUse(const EntryRecord& aEntry, const Resources& aFree) const
{
  if (aEntry.m_unreachable || aEntry.m_grantUnused ||
      !aEntry.IsSubscribed(m_board.m_now) || UnmetMilliCores(aEntry) == 0) {
    return false;
  }
  LoadReport granted;
  granted.m_freeCapacity = aFree;
  AddResources(granted.m_freeCapacity, aEntry.m_grant.m_capacity);
  return IsReportDue(aEntry) || CapacityAppeared(aEntry.m_lastLoad, granted);
}

std::vector<EntryRecord*>
CapacityGrants::Candidates(const Resources& aFree)
{
  std::vector<EntryRecord*> reported;
  std::vector<EntryRecord*> others;
  for (auto& [index, entry] : m_board.m_entries.m_records) {
    if (!CanUse(entry, aFree)) {
      continue;
    }
    if (IsReportDue(entry)) {
      reported.push_back(&entry);
    } else if (m_board.m_now >= NextCapacityReport(m_board, entry)) {
      others.push_back(&entry);
    }
  }
  std::vector<EntryRecord*>& chosen = reported.empty() ? others : reported;
  std::stable_sort(chosen.begin(),
                   chosen.end(),
                   [&](const EntryRecord* aLeft, const EntryRecord* aRight) {
                     return CurrentDemand(m_board, *aLeft).m_earliestDispatch <
                            CurrentDemand(m_board, *aRight).m_earliestDispatch;
                   });
  return std::move(chosen);
}

void
CapacityGrants::Assign()
{
  Resources free = CurrentLoad(m_board).m_freeCapacity;
  for (const auto& [index, entry] : m_board.m_entries.m_records) {
    free = Difference(free, entry.m_grant.m_capacity);
  }
  const Resources portion = Portion(m_board);
  const std::uint32_t smallest = SmallestUsableMilliCores(m_board);
  if (free.m_milliCores < smallest) {
    return;
  }
  std::vector<EntryRecord*> candidates = Candidates(free);
  while (!candidates.empty()) {
    std::vector<EntryRecord*> next;
    for (EntryRecord* const entry : candidates) {
      const std::uint64_t unmet = UnmetMilliCores(*entry);
      if (unmet == 0) {
        continue;
      }
      if (free.m_milliCores < smallest) {
        return;
      }
      Resources part = Smaller(free, portion);
      part.m_milliCores = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(part.m_milliCores, unmet));
      Grant(*entry, part);
      free = Difference(free, part);
      next.push_back(entry);
    }
    candidates = std::move(next);
  }
}

void
CapacityGrants::Grant(EntryRecord& aEntry, const Resources& aPart)
{
  if (!aEntry.m_grantReportDue) {
    ++m_board.m_counters.m_grantsMade;
  }
  AddResources(aEntry.m_grant.m_capacity, aPart);
  aEntry.m_grant.m_until = m_board.m_now + m_board.m_policy.m_capacityGrant;
  aEntry.m_grantReportDue = true;
  m_board.m_entries.m_capacityReportedAt = m_board.m_now;
}

} // namespace mulberrysail::core::agent
