#include "daemon/internal/wakeuptimer.h"

#include "daemon/internal/clock.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::daemon {

namespace {

/** The longest single wait. A wait until kNever would overflow the clock of the
 * condition variable. */
constexpr core::Duration kMaxSleep = std::chrono::minutes(1);

/** Instants are rounded up to a multiple of this, so that close instants share
 * one wake-up: there may be thousands of instants per second. */
constexpr core::Duration kResolution = std::chrono::milliseconds(1);

core::Instant
RoundUp(core::Instant aWhen)
{
  if (aWhen == core::kNever) {
    return aWhen;
  }
  const core::Duration rest = aWhen.time_since_epoch() % kResolution;
  return rest == core::Duration::zero() ? aWhen : aWhen + kResolution - rest;
}

} // namespace

WakeupTimer::WakeupTimer(std::size_t aClients, Callback aCallback)
  : m_callback(std::move(aCallback))
  , m_wakeTimes(aClients, core::kNever)
  , m_thread([this] { Run(); })
{
}

WakeupTimer::~WakeupTimer()
{
  Stop();
}

void
WakeupTimer::Set(std::size_t aClient, core::Instant aWhen)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_wakeTimes[aClient] = RoundUp(aWhen);
  if (m_wakeTimes[aClient] < m_sleepEnd) {
    m_changed.notify_one();
  }
}

void
WakeupTimer::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
    m_changed.notify_one();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
WakeupTimer::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopped) {
    const core::Instant now = Now();
    const std::vector<std::size_t> due = CollectDue(now);
    if (due.empty()) {
      m_sleepEnd = std::min(Earliest(), now + kMaxSleep);
      m_changed.wait_for(lock, m_sleepEnd - now);
      m_sleepEnd = core::Instant::min();
      continue;
    }
    lock.unlock();
    for (const std::size_t client : due) {
      m_callback(client);
    }
    lock.lock();
  }
}

core::Instant
WakeupTimer::Earliest() const
{
  return *std::min_element(m_wakeTimes.begin(), m_wakeTimes.end());
}

std::vector<std::size_t>
WakeupTimer::CollectDue(core::Instant aNow)
{
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < m_wakeTimes.size(); ++i) {
    if (m_wakeTimes[i] <= aNow) {
      m_wakeTimes[i] = core::kNever;
      due.push_back(i);
    }
  }
  return due;
}

} // namespace mulberrysail::daemon
