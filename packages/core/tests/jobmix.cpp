#include "core/tests/jobmix.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberrysail::core {

namespace {

/** Shape of the lognormal run times and task counts. */
constexpr double kSigma = 0.4;
/** Median of a lognormal variable with mean 1 and shape kSigma. */
constexpr double kMedianOverMean = 0.92;
/** Shape of the run times of one job's tasks around the job's own. */
constexpr double kTaskSigma = 0.15;
constexpr double kMicrosPerMs = 1000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kSlackFactor = 1.6;
constexpr Duration kTargetDuration = std::chrono::milliseconds(60);

double
DrawLognormal(boost::random::mt19937_64& aRandom, double aMedian, double aSigma)
{
  return boost::random::lognormal_distribution<double>(std::log(aMedian),
                                                       aSigma)(aRandom);
}

Duration
FromMicros(double aMicros)
{
  return Duration(static_cast<Duration::rep>(aMicros));
}

} // namespace

Duration
Job::Longest() const
{
  return *std::max_element(m_runs.begin(), m_runs.end());
}

double
Job::TotalRunUs() const
{
  const Duration sum =
    std::accumulate(m_runs.begin(), m_runs.end(), Duration::zero());
  return static_cast<double>(sum.count());
}

Duration
Job::Objective() const
{
  return FromMicros(kSlackFactor * static_cast<double>(Longest().count())) +
         kTargetDuration;
}

Job
DrawJob(boost::random::mt19937_64& aRandom, std::size_t aKind, Instant aNow)
{
  const JobKind& kind = kJobKinds.at(aKind);
  Job job;
  job.m_kind = aKind;
  job.m_arrivedAt = aNow;
  const double run =
    DrawLognormal(aRandom, kind.m_runMs * kMedianOverMean, kSigma);
  const double declared = run * DrawLognormal(aRandom, 1, kSigma);
  job.m_declaredRun = FromMicros(kMicrosPerMs * declared);
  const int tasks =
    std::max(1,
             static_cast<int>(std::lround(DrawLognormal(
               aRandom, kind.m_tasks * kMedianOverMean, kSigma))));
  for (int i = 0; i < tasks; ++i) {
    job.m_runs.push_back(
      FromMicros(kMicrosPerMs * run * DrawLognormal(aRandom, 1, kTaskSigma)));
  }
  return job;
}

Duration
DrawArrivalGap(boost::random::mt19937_64& aRandom, double aPerSecond)
{
  return FromMicros(boost::random::exponential_distribution<double>(
    aPerSecond / kMicrosPerSecond)(aRandom));
}

SubmitJob
MakeSubmission(const Job& aJob, std::uint64_t aNumber, Duration aDeadline)
{
  SubmitJob submit;
  submit.m_caller = { aNumber };
  submit.m_queue = kJobKinds.at(aJob.m_kind).m_queue;
  submit.m_name = std::to_string(aNumber);
  submit.m_deadline = aDeadline;
  for (std::size_t i = 0; i < aJob.m_runs.size(); ++i) {
    TaskSpec task;
    task.m_need = { kTaskMilliCores, 64, 0 };
    task.m_declaredRun = aJob.m_declaredRun;
    task.m_name = submit.m_name + "." + std::to_string(i);
    submit.m_tasks.push_back(task);
  }
  return submit;
}

TaskIndex
ParseTaskName(const std::string& aName)
{
  const std::size_t dot = aName.find('.');
  return { std::stoul(aName.substr(0, dot)) - 1,
           std::stoul(aName.substr(dot + 1)) };
}

} // namespace mulberrysail::core
