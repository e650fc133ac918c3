#include "daemon/internal/responsemetrics.h"

#include <algorithm>
#include <string>

namespace mulberrysail::daemon {

namespace {

/** Bucket boundaries of the response time, in seconds. From 50 ms to 3 s, the
 * range of most tasks, each is at most 1.5 times the previous one. */
const prometheus::Histogram::BucketBoundaries kResponseBuckets = {
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2,
  0.3,   0.4,    0.6,   0.8,  1,     1.5,  2,     3,   5,    10
};

/** Bucket boundaries of the added time, in seconds: the response time without
 * the run time. The range covers a network delay up to a long wait. */
const prometheus::Histogram::BucketBoundaries kAddedBuckets = {
  0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02,
  0.05,   0.1,   0.2,   0.5,   1,     2,      5,    10
};

constexpr std::array kKindNames = { "request", "job" };
constexpr std::array kOutcomeNames = { "complete", "error" };
constexpr int kStatusesPerClass = 100;

} // namespace

ResponseMetrics::ResponseMetrics()
{
  prometheus::Family<prometheus::Histogram>& answers =
    prometheus::BuildHistogram()
      .Name("mulberrysail_response_seconds")
      .Help("From the arrival of a submission to its answer.")
      .Register(m_registry);
  prometheus::Family<prometheus::Histogram>& added =
    prometheus::BuildHistogram()
      .Name("mulberrysail_added_seconds")
      .Help("Part of the response time of complete answers in which the work, "
            "or the longest task of the job, wasn't running.")
      .Register(m_registry);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    m_addedTimes[kind] =
      &added.Add({ { "kind", kKindNames[kind] } }, kAddedBuckets);
    for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      m_responseTimes[kind][outcome] = &answers.Add(
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
                               const core::Answer& aAnswer,
                               core::Duration aResponseTime)
{
  const std::size_t kind = aKind == core::WorkKind::Request ? 0 : 1;
  const std::size_t outcome = aAnswer.m_kind == core::ErrorKind::None ? 0 : 1;
  m_responseTimes[kind][outcome]->Observe(
    std::chrono::duration<double>(aResponseTime).count());
  if (aAnswer.m_ranFor > core::Duration::zero()) {
    const core::Duration added =
      std::max(aResponseTime - aAnswer.m_ranFor, core::Duration::zero());
    m_addedTimes[kind]->Observe(std::chrono::duration<double>(added).count());
  }
}

void
ResponseMetrics::CountResponse(int aStatus)
{
  const std::size_t digit =
    static_cast<std::size_t>(std::max(aStatus, 0) / kStatusesPerClass);
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
