#include "core/internal/entry/crashrates.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace mulberrysail::core {

namespace {

/** A run of this age is half as likely to crash its worker as one that has only
 * just started. */
constexpr Duration kHalfRateAge = std::chrono::milliseconds(20);
/** Exposure that is added to that of each queue, so that a queue with hardly
 * any runs isn't taken for the cause of every crash. */
constexpr double kPriorExposure = 1;
constexpr int kIterations = 40;
/** Probability above which a queue is the likely cause of one crash. */
constexpr double kLikelyCause = 0.5;
/** Queues that are likely to have caused fewer crashes need no evidence. */
constexpr double kMinCrashesForEvidence = 1;

double
RelativeAge(Duration aAge)
{
  return std::max(static_cast<double>(aAge.count()), 0.0) /
         static_cast<double>(kHalfRateAge.count());
}

/** Expectation maximization for Poisson rates. A cause is a queue or, as the
 * last one, the workers themselves. */
class RateFit
{
public:
  RateFit(std::span<const CrashObservation> aCrashes,
          const ValueByQueue& aCompleted,
          Duration aWorkerTime)
  {
    AddQueues(aCrashes, aCompleted);
    m_exposure.push_back(RelativeAge(aWorkerTime) + kPriorExposure);
    for (const CrashObservation& crash : aCrashes) {
      std::vector<double> rates(m_exposure.size(), 0.0);
      for (const auto& [queue, rate] : crash.m_relativeRate) {
        rates.at(m_causes.at(queue)) = rate;
      }
      rates.back() = 1;
      m_crashes.push_back(std::move(rates));
    }
  }

  const std::map<std::string, std::size_t>& Causes() const { return m_causes; }

  /** Estimates the rates of all causes but @p aExcluded.
   * @return the logarithm of the likelihood. */
  double Estimate(std::size_t aExcluded)
  {
    m_rates.clear();
    for (const double exposure : m_exposure) {
      m_rates.push_back(1 / exposure);
    }
    if (aExcluded < m_rates.size()) {
      m_rates[aExcluded] = 0;
    }
    for (int i = 0; i < kIterations; ++i) {
      Improve();
    }
    return LogLikelihood();
  }

  /** As of the last Estimate(). */
  double RateOf(std::size_t aCause) const { return m_rates[aCause]; }
  double CrashesOf(std::size_t aCause) const
  {
    return m_rates[aCause] * m_exposure[aCause];
  }
  double ProbabilityOf(std::size_t aCrash, std::size_t aCause) const
  {
    return m_rates[aCause] * m_crashes[aCrash][aCause] /
           TotalRate(m_crashes[aCrash]);
  }

private:
  void AddQueues(std::span<const CrashObservation> aCrashes,
                 const ValueByQueue& aCompleted)
  {
    for (const CrashObservation& crash : aCrashes) {
      for (const auto& [queue, exposure] : crash.m_exposure) {
        const auto [cause, isNew] = m_causes.emplace(queue, m_exposure.size());
        if (isNew) {
          const auto completed = aCompleted.find(queue);
          m_exposure.push_back(kPriorExposure + (completed == aCompleted.end()
                                                   ? 0
                                                   : completed->second));
        }
        m_exposure[cause->second] += exposure;
      }
    }
  }

  double TotalRate(const std::vector<double>& aCrash) const
  {
    double sum = 0;
    for (std::size_t cause = 0; cause < m_rates.size(); ++cause) {
      sum += m_rates[cause] * aCrash[cause];
    }
    return sum;
  }

  void Improve()
  {
    std::vector<double> crashes(m_rates.size(), 0.0);
    for (const std::vector<double>& crash : m_crashes) {
      const double total = TotalRate(crash);
      for (std::size_t cause = 0; cause < m_rates.size(); ++cause) {
        crashes[cause] += m_rates[cause] * crash[cause] / total;
      }
    }
    for (std::size_t cause = 0; cause < m_rates.size(); ++cause) {
      m_rates[cause] = crashes[cause] / m_exposure[cause];
    }
  }

  double LogLikelihood() const
  {
    double sum = 0;
    for (const std::vector<double>& crash : m_crashes) {
      sum += std::log(TotalRate(crash));
    }
    for (std::size_t cause = 0; cause < m_rates.size(); ++cause) {
      sum -= CrashesOf(cause);
    }
    return sum;
  }

  std::map<std::string, std::size_t> m_causes;
  std::vector<double> m_exposure;
  /** For each crash, the sum of RelativeCrashRate() by cause. */
  std::vector<std::vector<double>> m_crashes;
  std::vector<double> m_rates;
};

} // namespace

double
RelativeCrashRate(Duration aAge)
{
  const double age = RelativeAge(aAge);
  return 1 / (1 + age * age);
}

double
CrashExposure(Duration aAge)
{
  return std::atan(RelativeAge(aAge));
}

CrashObservation::CrashObservation(Instant aAt,
                                   const WorkerCrash& aCrash,
                                   std::set<std::string> aRepeatedQueues)
  : m_at(aAt)
  , m_repeatedQueues(std::move(aRepeatedQueues))
{
  for (const LostRun& run : aCrash.m_runs) {
    if (!run.m_queue.empty()) {
      m_relativeRate[run.m_queue] += RelativeCrashRate(run.m_age);
      m_exposure[run.m_queue] += CrashExposure(run.m_age);
    }
  }
}

CrashEstimates
EstimateCrashRates(std::span<const CrashObservation> aCrashes,
                   const ValueByQueue& aCompleted,
                   Duration aWorkerTime)
{
  RateFit fit(aCrashes, aCompleted, aWorkerTime);
  const std::size_t none = fit.Causes().size() + 1;
  const double likelihood = fit.Estimate(none);
  CrashEstimates estimates;
  for (const auto& [queue, cause] : fit.Causes()) {
    CrashEstimate& estimate = estimates[queue];
    estimate.m_crashes = fit.CrashesOf(cause);
    estimate.m_rate = fit.RateOf(cause);
    for (std::size_t i = 0; i < aCrashes.size(); ++i) {
      if (fit.ProbabilityOf(i, cause) >= kLikelyCause) {
        estimate.m_lastCrashAt =
          std::max(estimate.m_lastCrashAt, aCrashes[i].m_at);
      }
    }
  }
  for (auto& [queue, estimate] : estimates) {
    if (estimate.m_crashes >= kMinCrashesForEvidence) {
      estimate.m_evidence = likelihood - fit.Estimate(fit.Causes().at(queue));
    }
  }
  return estimates;
}

} // namespace mulberrysail::core
