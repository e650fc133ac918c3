#include "core/internal/entry/queueisolation.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Crashes count for this long. */
constexpr Duration kWindow = std::chrono::seconds(10);
/** Crashes with a repeatedly lost task that show that tasks are the cause. One
 * may be chance. */
constexpr std::size_t kMinRepeats = 2;
/** Share of the blame for all crashes that isolates a queue. */
constexpr double kMinBlameShare = 0.4;
/** Blame for one crash above which an isolated queue stays isolated. */
constexpr double kMinBlame = 0.2;
/** Time without a crash after which a queue is released. It is longer than a
 * restart of the workers on which the queue is isolated. */
constexpr Duration kReleaseAfter = std::chrono::seconds(6);

} // namespace

void
QueueIsolation::AddCrash(Instant aAt,
                         const WorkerCrash& aCrash,
                         std::span<const double> aBlame,
                         bool aHasRepeat)
{
  Crash crash;
  crash.m_at = aAt;
  crash.m_hasRepeat = aHasRepeat;
  for (std::size_t i = 0; i < aCrash.m_runs.size(); ++i) {
    if (!aCrash.m_runs[i].m_queue.empty()) {
      crash.m_blameByQueue[aCrash.m_runs[i].m_queue] += aBlame[i];
    }
  }
  for (const auto& [queue, blame] : crash.m_blameByQueue) {
    const auto isolated = m_isolated.find(queue);
    if (isolated != m_isolated.end() && blame >= kMinBlame) {
      isolated->second = std::max(isolated->second, aAt);
    }
  }
  m_crashes.push_back(std::move(crash));
}

std::vector<IsolationChange>
QueueIsolation::Update(Instant aNow, std::span<const std::string> aActive)
{
  Evict(aNow);
  std::vector<IsolationChange> changes = Release(aNow);
  const std::vector<IsolationChange> isolated = Isolate(aNow, aActive);
  changes.insert(changes.end(), isolated.begin(), isolated.end());
  return changes;
}

void
QueueIsolation::Evict(Instant aNow)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) {
    return aCrash.m_at + kWindow <= aNow;
  });
}

std::vector<IsolationChange>
QueueIsolation::Release(Instant aNow)
{
  std::vector<IsolationChange> released;
  for (auto queue = m_isolated.begin(); queue != m_isolated.end();) {
    if (queue->second + kReleaseAfter > aNow) {
      ++queue;
      continue;
    }
    released.push_back({ queue->first, false, m_crashes.size(), 0 });
    queue = m_isolated.erase(queue);
  }
  return released;
}

std::vector<IsolationChange>
QueueIsolation::Isolate(Instant aNow, std::span<const std::string> aActive)
{
  const std::size_t repeats = static_cast<std::size_t>(
    std::count_if(m_crashes.begin(), m_crashes.end(), [](const Crash& aCrash) {
      return aCrash.m_hasRepeat;
    }));
  if (repeats < kMinRepeats) {
    return {};
  }
  const std::map<std::string, double, std::less<>> blame = SumBlame();
  const auto most = std::max_element(
    blame.begin(), blame.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  const double share = most == blame.end()
                         ? 0
                         : most->second / static_cast<double>(m_crashes.size());
  if (share < kMinBlameShare) {
    return {};
  }
  const bool anyOther =
    std::any_of(aActive.begin(), aActive.end(), [&](const std::string& aQueue) {
      return aQueue != most->first && !Contains(aQueue);
    });
  if (!anyOther) {
    return {};
  }
  const IsolationChange change{ most->first, true, m_crashes.size(), share };
  m_isolated.emplace(change.m_queue, aNow);
  // Further queues are isolated only by crashes that happen from now on.
  m_crashes.clear();
  return { change };
}

std::map<std::string, double, std::less<>>
QueueIsolation::SumBlame() const
{
  std::map<std::string, double, std::less<>> sum;
  for (const Crash& crash : m_crashes) {
    for (const auto& [queue, blame] : crash.m_blameByQueue) {
      if (!Contains(queue)) {
        sum[queue] += blame;
      }
    }
  }
  return sum;
}

} // namespace mulberrysail::core
