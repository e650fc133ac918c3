#include "core/internal/entry/exposurehistory.h"

namespace mulberrysail::core {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(100);
constexpr Duration kRetention = std::chrono::minutes(1);

} // namespace

void
ExposureHistory::Add(Instant aNow, std::string_view aQueue, double aExposure)
{
  auto queue = m_byQueue.find(aQueue);
  if (queue == m_byQueue.end()) {
    queue =
      m_byQueue.emplace(std::string(aQueue), std::deque<Interval>{}).first;
  }
  std::deque<Interval>& intervals = queue->second;
  if (intervals.empty() || intervals.back().m_start + kInterval <= aNow) {
    intervals.push_back({ aNow });
    while (intervals.front().m_start + kRetention < aNow) {
      intervals.pop_front();
    }
  }
  intervals.back().m_exposure += aExposure;
}

ValueByQueue
ExposureHistory::Since(Instant aSince) const
{
  ValueByQueue exposure;
  for (const auto& [queue, intervals] : m_byQueue) {
    exposure[queue] = Sum(intervals, aSince);
  }
  return exposure;
}

double
ExposureHistory::SinceOf(Instant aSince, std::string_view aQueue) const
{
  const auto queue = m_byQueue.find(aQueue);
  return queue == m_byQueue.end() ? 0 : Sum(queue->second, aSince);
}

double
ExposureHistory::Sum(const std::deque<Interval>& aIntervals, Instant aSince)
{
  double sum = 0;
  for (auto interval = aIntervals.rbegin();
       interval != aIntervals.rend() && interval->m_start >= aSince;
       ++interval) {
    sum += interval->m_exposure;
  }
  return sum;
}

} // namespace mulberrysail::core
