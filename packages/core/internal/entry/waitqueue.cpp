#include "core/internal/entry/waitqueue.h"

#include <algorithm>
#include <bit>

namespace mulberrysail::core {

std::size_t
WaitQueue::RunTimeClassOf(Duration aRun)
{
  const std::uint64_t micros =
    static_cast<std::uint64_t>(std::max<Duration::rep>(aRun.count(), 1));
  return std::min<std::size_t>(std::bit_width(micros), kClasses - 1);
}

void
WaitQueue::Insert(WaitKey aKey, Duration aExpectedRun)
{
  if (m_keys.insert(aKey).second) {
    m_work += aExpectedRun;
    m_workByClass.at(RunTimeClassOf(aExpectedRun)) += aExpectedRun;
  }
}

void
WaitQueue::Erase(WaitKey aKey, Duration aExpectedRun)
{
  if (m_keys.erase(aKey) > 0) {
    m_work -= aExpectedRun;
    m_workByClass.at(RunTimeClassOf(aExpectedRun)) -= aExpectedRun;
  }
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

} // namespace mulberrysail::core
