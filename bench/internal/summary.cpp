#include "bench/internal/summary.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace mulberrysail::bench {

namespace {

using core::Duration;

constexpr double kMicrosPerMs = 1000;
constexpr int kGatewayTimeout = 504;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const std::size_t rank = std::min(
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size())),
    aValues.size() - 1);
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

double
Mean(const std::vector<double>& aValues)
{
  return aValues.empty()
           ? 0
           : std::accumulate(aValues.begin(), aValues.end(), 0.0) /
               static_cast<double>(aValues.size());
}

double
Ms(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosPerMs;
}

bool
IsRefusal(int aStatus)
{
  return aStatus == kServiceUnavailable || aStatus == kTooManyRequests ||
         aStatus == kGatewayTimeout;
}

/** Collects samples and turns them into the quantiles of a summary. */
struct Samples
{
  std::vector<double> m_ratios;
  std::vector<double> m_responses;
  std::vector<double> m_refusals;
  std::vector<double> m_late;

  void Fill(Summary& aSummary)
  {
    aSummary.m_ratioMean = Mean(m_ratios);
    aSummary.m_ratioP50 = Quantile(m_ratios, 0.5);
    aSummary.m_ratioP99 = Quantile(m_ratios, 0.99);
    aSummary.m_responseMeanMs = Mean(m_responses);
    aSummary.m_responseP99Ms = Quantile(m_responses, 0.99);
    aSummary.m_refusalP99Ms = Quantile(m_refusals, 0.99);
    aSummary.m_sentLateP99Ms = Quantile(m_late, 0.99);
  }

  void AddComplete(const Arrival& aArrival, Duration aResponse, Duration aHops)
  {
    m_ratios.push_back(
      static_cast<double>(aResponse.count()) /
      static_cast<double>(IdealResponse(aArrival, aHops).count()));
    m_responses.push_back(Ms(aResponse));
  }
};

} // namespace

Duration
IdealResponse(const Arrival& aArrival, Duration aHops)
{
  Duration longest{};
  for (const TaskLoad& task : aArrival.m_tasks) {
    longest = std::max(longest, task.m_run);
  }
  return longest + aHops;
}

Summary
Summarize(std::span<const Arrival> aArrivals,
          std::span<const Outcome> aOutcomes,
          Duration aHops)
{
  Summary summary;
  Samples samples;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const Arrival& arrival = aArrivals[i];
    const Outcome& outcome = aOutcomes[i];
    ++summary.m_sent;
    samples.m_late.push_back(Ms(outcome.m_sentLate));
    if (!outcome.m_answered) {
      ++summary.m_unanswered;
    } else if (!outcome.m_errorKind.empty()) {
      ++(IsRefusal(outcome.m_status) ? summary.m_refused : summary.m_failed);
      if (IsRefusal(outcome.m_status)) {
        samples.m_refusals.push_back(Ms(outcome.m_response));
      }
    } else {
      ++summary.m_complete;
      summary.m_wrong += outcome.m_own ? 0 : 1;
      // The deadline counts from when the request was really sent.
      const bool inTime = outcome.m_response <=
                          arrival.m_deadline + aHops + outcome.m_sentLate;
      ++(inTime ? summary.m_completeInTime : summary.m_late);
      samples.AddComplete(arrival, outcome.m_response, aHops);
    }
  }
  samples.Fill(summary);
  return summary;
}

Summary
SummarizeCentral(std::span<const Arrival> aArrivals,
                 std::span<const std::optional<Duration>> aResponses,
                 Duration aHops)
{
  Summary summary;
  Samples samples;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    if (aArrivals[i].m_job) {
      continue;
    }
    ++summary.m_sent;
    if (!aResponses[i]) {
      ++summary.m_refused;
      continue;
    }
    ++summary.m_complete;
    ++summary.m_completeInTime;
    samples.AddComplete(aArrivals[i], *aResponses[i] + aHops, aHops);
  }
  samples.Fill(summary);
  return summary;
}

nlohmann::json
ToJson(const Summary& aSummary)
{
  return { { "sent", aSummary.m_sent },
           { "complete", aSummary.m_complete },
           { "complete_in_time", aSummary.m_completeInTime },
           { "late", aSummary.m_late },
           { "refused", aSummary.m_refused },
           { "failed", aSummary.m_failed },
           { "unanswered", aSummary.m_unanswered },
           { "wrong", aSummary.m_wrong },
           { "ratio_mean", aSummary.m_ratioMean },
           { "ratio_p50", aSummary.m_ratioP50 },
           { "ratio_p99", aSummary.m_ratioP99 },
           { "response_mean_ms", aSummary.m_responseMeanMs },
           { "response_p99_ms", aSummary.m_responseP99Ms },
           { "refusal_p99_ms", aSummary.m_refusalP99Ms },
           { "sent_late_p99_ms", aSummary.m_sentLateP99Ms } };
}

} // namespace mulberrysail::bench
