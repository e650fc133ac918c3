#include "bench/internal/centralqueue.h"

#include <algorithm>
#include <queue>
#include <set>
#include <utility>

namespace mulberrysail::bench {

namespace {

using core::Duration;

/** Order in the queue: key, then arrival. */
using Waiting = std::set<std::pair<Duration, std::size_t>>;

class Replay
{
public:
  Replay(const CentralQueueModel& aModel, std::span<const Arrival> aArrivals)
    : m_model(aModel)
    , m_arrivals(aArrivals)
    , m_responses(aArrivals.size())
  {
    for (std::size_t i = 0; i < aModel.m_slotSpeeds.size(); ++i) {
      m_idle.insert({ -aModel.m_slotSpeeds[i], i });
    }
  }

  std::vector<std::optional<Duration>> Run()
  {
    std::size_t next = 0;
    while (next < m_arrivals.size() || !m_waiting.empty()) {
      const bool arrives =
        next < m_arrivals.size() &&
        (m_ends.empty() || m_arrivals[next].m_at <= m_ends.top().first);
      if (arrives) {
        m_now = m_arrivals[next].m_at;
        Add(next++);
      } else if (!m_ends.empty()) {
        m_now = m_ends.top().first;
        const std::size_t slot = m_ends.top().second;
        m_ends.pop();
        m_idle.insert({ -m_model.m_slotSpeeds[slot], slot });
      } else {
        break;
      }
      StartWhatFits();
    }
    return std::move(m_responses);
  }

private:
  void Add(std::size_t aIndex)
  {
    const Arrival& arrival = m_arrivals[aIndex];
    if (arrival.m_job) {
      return;
    }
    const Duration key = m_model.m_order == QueueOrder::ShortestFirst
                           ? arrival.m_tasks.front().m_run
                           : arrival.m_at;
    m_waiting.insert({ key, aIndex });
  }

  void StartWhatFits()
  {
    while (!m_idle.empty() && !m_waiting.empty()) {
      const std::size_t index = m_waiting.begin()->second;
      m_waiting.erase(m_waiting.begin());
      const std::size_t slot = m_idle.begin()->second;
      const Arrival& arrival = m_arrivals[index];
      const Duration run(static_cast<Duration::rep>(
        static_cast<double>(arrival.m_tasks.front().m_run.count()) /
        m_model.m_slotSpeeds[slot]));
      const Duration end = m_now + run;
      const bool inTime = end <= arrival.m_at + arrival.m_deadline;
      if (!inTime && m_model.m_dropLate) {
        continue;
      }
      m_idle.erase(m_idle.begin());
      m_ends.push({ end, slot });
      if (inTime) {
        m_responses[index] = end - arrival.m_at;
      }
    }
  }

  using End = std::pair<Duration, std::size_t>;

  const CentralQueueModel& m_model;
  std::span<const Arrival> m_arrivals;
  std::vector<std::optional<Duration>> m_responses;
  Duration m_now{};
  Waiting m_waiting;
  /** Idle slots, the fastest first. */
  std::set<std::pair<double, std::size_t>> m_idle;
  std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
};

} // namespace

std::vector<std::optional<core::Duration>>
ReplayCentralQueue(const CentralQueueModel& aModel,
                   std::span<const Arrival> aArrivals)
{
  return Replay(aModel, aArrivals).Run();
}

} // namespace mulberrysail::bench
