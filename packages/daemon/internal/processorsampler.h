#pragma once

#include "core/types/events.h"
#include "core/types/time.h"
#include "store/itimer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace mulberrysail::daemon {

/** @return the processor time that this process has used; nothing if it cannot
 * be read. */
std::optional<core::Duration>
ProcessorTime();

/** Measures every 200 ms which share of the allowed processor time the process
 * uses, and how late the timer was. */
class ProcessorSampler : public std::enable_shared_from_this<ProcessorSampler>
{
public:
  using Clock = std::function<std::optional<core::Duration>()>;
  using Sink = std::function<void(core::ProcessorSampled)>;

  /** @param aTimer must outlive the sampler.
   * @param aAllowedCores cores that the process may use, above 0.
   * @param aProcessorTime reads the processor time used so far.
   * @param aSink receives the samples on the timer's thread. */
  ProcessorSampler(store::ITimer& aTimer,
                   double aAllowedCores,
                   Clock aProcessorTime,
                   Sink aSink);

  void Start();

  /** After it returns, the sink is not called again. */
  void Stop();

private:
  void Schedule();
  void Sample();

  store::ITimer& m_timer;
  const double m_allowedCores;
  const Clock m_processorTime;
  const Sink m_sink;
  /** Held while the sink is called. */
  std::mutex m_mutex;
  bool m_stopped = false;
  core::Instant m_dueAt;
  core::Instant m_lastAt;
  core::Duration m_lastUsed{};
};

} // namespace mulberrysail::daemon
