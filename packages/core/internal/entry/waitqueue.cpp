#include "core/internal/entry/waitqueue.h"

#include <algorithm>
#include <bit>

namespace mulberrysail::core {

namespace {

constexpr std::int64_t kMilli = 1000;
/** Orders of queues' jobs are in microseconds: one range covers 16 ms, so the
 * jobs of a few seconds fall into a few hundred ranges. */
constexpr unsigned kRangeShift = 14;

std::int64_t
RangeOf(std::int64_t aOrder)
{
  return aOrder >> kRangeShift;
}

} // namespace

Duration
WaitingWork::CoreTime() const
{
  return m_meanRun * static_cast<std::int64_t>(m_milliCores) / kMilli;
}

WaitingWork
WaitingWorkOf(const Submission& aSubmission, const WorkItem& aItem)
{
  return { aItem.m_expectedRun,
           aItem.m_need.m_milliCores,
           aSubmission.m_priority,
           aItem.m_meanRun };
}

std::size_t
WaitQueue::RunTimeClassOf(Duration aRun)
{
  const std::uint64_t micros =
    static_cast<std::uint64_t>(std::max<Duration::rep>(aRun.count(), 1));
  return std::min<std::size_t>(std::bit_width(micros), kClasses - 1);
}

template<typename K>
void
WaitQueue::AddTo(std::map<K, Sum>& aSums, K aKey, Duration aCoreTime)
{
  Sum& sum = aSums[aKey];
  ++sum.m_items;
  sum.m_coreTime += aCoreTime;
}

template<typename K>
void
WaitQueue::SubtractFrom(std::map<K, Sum>& aSums, K aKey, Duration aCoreTime)
{
  const auto place = aSums.find(aKey);
  place->second.m_coreTime -= aCoreTime;
  if (--place->second.m_items == 0) {
    aSums.erase(place);
  }
}

void
WaitQueue::Insert(WaitKey aKey, const WaitingWork& aWork)
{
  const Duration coreTime = aWork.CoreTime();
  if (!m_keys.emplace(aKey, coreTime).second) {
    return;
  }
  m_work += aWork.m_expectedRun;
  m_milliCores += aWork.m_milliCores;
  m_workByClass.at(RunTimeClassOf(aWork.m_expectedRun)) += aWork.m_expectedRun;
  AddTo(m_sumsByRange, RangeOf(aKey.m_order), coreTime);
  AddTo(m_sumsByPriority, aWork.m_priority, coreTime);
}

void
WaitQueue::Erase(WaitKey aKey, const WaitingWork& aWork)
{
  if (m_keys.erase(aKey) == 0) {
    return;
  }
  const Duration coreTime = aWork.CoreTime();
  m_work -= aWork.m_expectedRun;
  m_milliCores -= aWork.m_milliCores;
  m_workByClass.at(RunTimeClassOf(aWork.m_expectedRun)) -= aWork.m_expectedRun;
  SubtractFrom(m_sumsByRange, RangeOf(aKey.m_order), coreTime);
  SubtractFrom(m_sumsByPriority, aWork.m_priority, coreTime);
}

Duration
WaitQueue::WorkNoLongerThan(Duration aRun) const
{
  const std::size_t last = RunTimeClassOf(aRun);
  Duration work{};
  for (std::size_t i = 0; i <= last; ++i) {
    work += m_workByClass.at(i);
  }
  return work;
}

Duration
WaitQueue::CoreTimeUpTo(std::int64_t aOrder) const
{
  Duration sum{};
  const std::int64_t lastRange = RangeOf(aOrder);
  for (const auto& [range, part] : m_sumsByRange) {
    if (range >= lastRange) {
      break;
    }
    sum += part.m_coreTime;
  }
  const WaitKey first{ lastRange * (std::int64_t{ 1 } << kRangeShift), {} };
  for (auto place = m_keys.lower_bound(first);
       place != m_keys.end() && place->first.m_order <= aOrder;
       ++place) {
    sum += place->second;
  }
  return sum;
}

std::vector<PriorityWork>
WaitQueue::CoreTimeByPriority() const
{
  std::vector<PriorityWork> work;
  work.reserve(m_sumsByPriority.size());
  for (const auto& [priority, sum] : m_sumsByPriority) {
    work.push_back({ priority, sum.m_coreTime });
  }
  return work;
}

} // namespace mulberrysail::core
