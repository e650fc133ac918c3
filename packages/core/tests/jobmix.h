#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "core/types/time.h"

#include <boost/random/mersenne_twister.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** One kind of job in the users' mix. */
struct JobKind
{
  const char* m_queue;
  double m_perSecond;
  /** Mean number of tasks of a job. */
  double m_tasks;
  /** Mean run time of a task in milliseconds. */
  double m_runMs;
};

constexpr std::array kJobKinds = {
  JobKind{ "short", 34.4, 8, 60 },
  JobKind{ "long", 6.25, 4, 900 },
  JobKind{ "plain", 100, 2, 200 },
};

constexpr std::uint32_t kTaskMilliCores = 1600;
/** Callers have some use of an answer up to this multiple of the objective. */
constexpr int kLateAnswerFactor = 3;

/** A configuration with the queues of kJobKinds. */
constexpr const char* kJobMixDocument = R"({
  "services": {"photo": {}},
  "queues": {
    "short": {"prefix": "/a/", "service": "photo", "priority": 0,
              "slack_factor": 1.6, "target_duration_ms": 60},
    "long": {"prefix": "/b/", "service": "photo", "priority": 2,
             "slack_factor": 1.6, "target_duration_ms": 60},
    "plain": {"prefix": "/c/", "service": "photo", "priority": 1,
              "slack_factor": 1.6, "target_duration_ms": 60}
  }
})";

/** One job of a simulation. */
struct Job
{
  std::size_t m_kind = 0;
  Instant m_arrivedAt;
  std::vector<Duration> m_runs;
  Duration m_declaredRun{};
  std::optional<Instant> m_doneAt;

  /** @return the run time of the longest task. */
  Duration Longest() const;
  /** @return the run time of all tasks in microseconds. */
  double TotalRunUs() const;
  /** @return the response time that the queue's objective allows. */
  Duration Objective() const;
  bool DoneWithin(Duration aLimit) const
  {
    return m_doneAt && *m_doneAt - m_arrivedAt <= aLimit;
  }
  bool InTime() const { return DoneWithin(Objective()); }
  bool OfUse() const { return DoneWithin(kLateAnswerFactor * Objective()); }
};

/** Draws the next job of a kind: lognormal run times and task counts, and a
 * declared run time that is off by a lognormal factor. */
Job
DrawJob(boost::random::mt19937_64& aRandom, std::size_t aKind, Instant aNow);

/** @return the time to the next arrival of a Poisson process. */
Duration
DrawArrivalGap(boost::random::mt19937_64& aRandom, double aPerSecond);

/** @return the submission of @p aJob. Its name is @p aNumber, which is also its
 * caller's token, and task i is named "number.i". */
SubmitJob
MakeSubmission(const Job& aJob, std::uint64_t aNumber, Duration aDeadline);

/** The job and the task that a name made by MakeSubmission stands for. */
struct TaskIndex
{
  std::size_t m_job = 0;
  std::size_t m_task = 0;
};

TaskIndex
ParseTaskName(const std::string& aName);

} // namespace mulberrysail::core
