#include "core/internal/entry/exposurehistory.h"

namespace mulberrysail::core {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);
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

double
ExposureHistory::Since(Instant aSince, std::string_view aQueue) const
{
  const auto queue = m_byQueue.find(aQueue);
  if (queue == m_byQueue.end()) {
    return 0;
  }
  double sum = 0;
  for (auto interval = queue->second.rbegin();
       interval != queue->second.rend() && interval->m_start >= aSince;
       ++interval) {
    sum += interval->m_exposure;
  }
  return sum;
}

} // namespace mulberrysail::core
