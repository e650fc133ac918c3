#pragma once

#include "core/types/answer.h"
#include "core/types/messages.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <vector>

namespace mulberrysail::daemon {

/** Metrics of the answers to submissions and of all HTTP responses.
 * Thread-safe. */
class ResponseMetrics
{
public:
  ResponseMetrics();

  /** Records the answer to one submission.
   * @param aResponseTime the time from the arrival to the answer. */
  void ObserveAnswer(core::WorkKind aKind,
                     const core::Answer& aAnswer,
                     core::Duration aResponseTime);

  /** Counts one HTTP response. */
  void CountResponse(int aStatus);

  std::vector<prometheus::MetricFamily> Collect() const;

private:
  static constexpr std::size_t kKinds = 2;
  static constexpr std::size_t kOutcomes = 2;
  static constexpr std::size_t kStatusClasses = 6;

  prometheus::Registry m_registry;
  std::array<std::array<prometheus::Histogram*, kOutcomes>, kKinds>
    m_responseTimes{};
  std::array<prometheus::Histogram*, kKinds> m_addedTimes{};
  std::array<prometheus::Counter*, kStatusClasses> m_responses{};
};

} // namespace mulberrysail::daemon
