#include "daemon/internal/responsemetrics.h"

#include <algorithm>
#include <string>

namespace mulberrysail::daemon {

namespace {

/** In seconds; close together where most tasks are. */
const prometheus::Histogram::BucketBoundaries kResponseBuckets = {
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2,
  0.3,   0.4,    0.6,   0.8,  1,     1.5,  2,     3,   5,    10
};

constexpr std::array kKindNames = { "request", "job" };
constexpr std::array kOutcomeNames = { "complete", "error" };
constexpr int kStatusesOfClass = 100;

} // namespace

ResponseMetrics::ResponseMetrics()
{
  prometheus::Family<prometheus::Histogram>& answers =
    prometheus::BuildHistogram()
      .Name("mulberrysail_response_seconds")
      .Help("From the arrival of a submission to its answer.")
      .Register(m_registry);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      m_answers[kind][outcome] = &answers.Add(
        { { "kind", kKindNames[kind] }, { "outcome", kOutcomeNames[outcome] } },
        kResponseBuckets);
    }
  }
  prometheus::Family<prometheus::Counter>& responses =
    prometheus::BuildCounter()
      .Name("mulberrysail_http_responses_total")
      .Help("HTTP responses by the first digit of their status.")
      .Register(m_registry);
  for (std::size_t digit = 2; digit < kStatusClasses; ++digit) {
    m_responses[digit] =
      &responses.Add({ { "class", std::to_string(digit) + "xx" } });
  }
}

void
ResponseMetrics::ObserveAnswer(core::WorkKind aKind,
                               core::ErrorKind aError,
                               core::Duration aTook)
{
  const std::size_t kind = aKind == core::WorkKind::Request ? 0 : 1;
  const std::size_t outcome = aError == core::ErrorKind::None ? 0 : 1;
  m_answers[kind][outcome]->Observe(
    std::chrono::duration<double>(aTook).count());
}

void
ResponseMetrics::CountResponse(int aStatus)
{
  const std::size_t digit =
    static_cast<std::size_t>(std::max(aStatus, 0) / kStatusesOfClass);
  if (digit < kStatusClasses && m_responses[digit] != nullptr) {
    m_responses[digit]->Increment();
  }
}

std::vector<prometheus::MetricFamily>
ResponseMetrics::Collect() const
{
  return m_registry.Collect();
}

} // namespace mulberrysail::daemon
