#pragma once

#include "bench/internal/arrival.h"
#include "bench/internal/outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace mulberrysail::bench {

/** Figures of one run; docs/MEASUREMENTS.md defines them. */
struct Summary
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_complete = 0;
  std::uint64_t m_completeInTime = 0;
  std::uint64_t m_late = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_unanswered = 0;
  std::uint64_t m_wrong = 0;
  /** Response over ideal, of complete answers. */
  double m_ratioMean = 0;
  double m_ratioP50 = 0;
  double m_ratioP99 = 0;
  double m_responseMeanMs = 0;
  double m_responseP99Ms = 0;
  double m_refusalP99Ms = 0;
  double m_sentLateP99Ms = 0;
};

/** What can't be avoided beside the run: hops there and back. */
core::Duration
IdealResponse(const Arrival& aArrival, core::Duration aHops);

Summary
Summarize(std::span<const Arrival> aArrivals,
          std::span<const Outcome> aOutcomes,
          core::Duration aHops);

/** The same figures for a central queue's responses. */
Summary
SummarizeCentral(std::span<const Arrival> aArrivals,
                 std::span<const std::optional<core::Duration>> aResponses,
                 core::Duration aHops);

nlohmann::json
ToJson(const Summary& aSummary);

} // namespace mulberrysail::bench
