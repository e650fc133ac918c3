#pragma once

#include "core/tests/schedule_cluster.h"
#include "core/tests/schedule_plan.h"

#include <string>

namespace mulberrysail::core {

/** The callers of one schedule: they submit, resubmit, cancel and disconnect.
 */
class ScheduleCallers
{
public:
  ScheduleCallers(ScheduleCluster& aCluster, const SchedulePlan& aPlan)
    : m_cluster(aCluster)
    , m_plan(aPlan)
  {
  }

  /** Schedules all submissions at random times from @p aFrom on. */
  void Plan(Instant aFrom);

private:
  void SubmitRequest(const std::string& aWork);
  void SubmitJob(const std::string& aWork);
  void PlanKeyed(const std::string& aWork, Instant aFirst);
  void SubmitKeyed(const std::string& aWork,
                   std::uint32_t aSubmissionNumber,
                   bool aNumbered);
  ScheduledSubmission MakeSubmission(Duration aDeadline);
  void MaybeCancel(std::size_t aEntry, CallerToken aCaller);
  std::string Service();

  ScheduleCluster& m_cluster;
  const SchedulePlan& m_plan;
  std::uint64_t m_nextCaller = 1;
};

} // namespace mulberrysail::core
