#include "daemon/internal/processorsampler.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace mulberrysail::daemon {

namespace {

constexpr core::Duration kInterval = std::chrono::milliseconds(200);

} // namespace

std::optional<core::Duration>
ProcessorTime()
{
  rusage usage{};
  if (::getrusage(RUSAGE_SELF, &usage) != 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
    std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
}

ProcessorSampler::ProcessorSampler(store::ITimer& aTimer,
                                   double aAllowedCores,
                                   Clock aProcessorTime,
                                   Sink aSink)
  : m_timer(aTimer)
  , m_allowedCores(aAllowedCores)
  , m_processorTime(std::move(aProcessorTime))
  , m_sink(std::move(aSink))
{
}

void
ProcessorSampler::Start()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_lastAt = m_timer.Now();
  m_lastUsed = m_processorTime().value_or(core::Duration::zero());
  Schedule();
}

void
ProcessorSampler::Stop()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stopped = true;
}

void
ProcessorSampler::Schedule()
{
  m_dueAt = m_timer.Now() + kInterval;
  m_timer.After(kInterval, [weak = weak_from_this()] {
    if (const std::shared_ptr<ProcessorSampler> self = weak.lock()) {
      self->Sample();
    }
  });
}

void
ProcessorSampler::Sample()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopped) {
    return;
  }
  const core::Instant now = m_timer.Now();
  const std::optional<core::Duration> used = m_processorTime();
  const double allowed =
    m_allowedCores * static_cast<double>((now - m_lastAt).count());
  if (used && allowed > 0) {
    core::ProcessorSampled sample;
    sample.m_usedShare = std::clamp(
      static_cast<double>((*used - m_lastUsed).count()) / allowed, 0.0, 1.0);
    sample.m_lateness = std::max(now - m_dueAt, core::Duration::zero());
    m_lastAt = now;
    m_lastUsed = *used;
    m_sink(sample);
  }
  Schedule();
}

} // namespace mulberrysail::daemon
