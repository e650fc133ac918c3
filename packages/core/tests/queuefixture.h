#pragma once

#include "core/tests/entryfixture.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::core {

/** Capacity of one worker, and need of one task. */
constexpr Resources kWorkerCapacity{ 16000, 32768, 0 };
constexpr Resources kTaskNeed{ 1600, 64, 0 };

/** A configuration with the queue "crop", which allows two attempts, and the
 * queue "deep" with default limits. */
constexpr const char* kQueueDocument = R"({
  "services": {"photo": {}},
  "queues": {
    "crop": {"host": "crop.example", "prefix": "/a/", "service": "photo",
             "max_attempts": 2, "slack_factor": 1.6, "timeout_ms": 1500,
             "target_duration_ms": 60},
    "deep": {"prefix": "/a/b/", "service": "photo"}
  }
})";

/** @return the policy of entries whose jobs are submitted through queues. */
inline EntryPolicy
QueuePolicy()
{
  EntryPolicy policy;
  policy.m_agentQueueDepth = 0;
  policy.m_openAttemptHeartbeat = std::chrono::milliseconds(200);
  policy.m_agentTimeout = std::chrono::milliseconds(450);
  policy.m_runsEndAfter = std::chrono::milliseconds(1250);
  return policy;
}

/** An entry core that is configured with the queues of kQueueDocument. */
class QueueFixture : public EntryFixture
{
public:
  explicit QueueFixture(EntryPolicy aPolicy = QueuePolicy())
    : EntryFixture(std::move(aPolicy))
  {
    HandleEvent(ConfigChanged{
      ParseConfiguration({ 2 }, kQueueDocument).value(), kQueueDocument });
  }

  CallerToken Submit(
    const std::string& aName,
    std::size_t aTasks,
    std::optional<Duration> aDeadline = std::chrono::seconds(2))
  {
    return SubmitSteps(aName, { {} }, aTasks, aDeadline);
  }

  /**
   * Submits a job with @p aSteps to the queue "crop".
   * @param aTasks the number of tasks of each step.
   * @param aPreferred the label of the preferred workers.
   * @return the token of its caller.
   */
  CallerToken SubmitSteps(const std::string& aName,
                          std::vector<StepSpec> aSteps,
                          std::size_t aTasks,
                          std::optional<Duration> aDeadline,
                          const std::string& aPreferred = {})
  {
    SubmitJob job;
    job.m_caller = CallerToken{ ++m_lastCaller };
    job.m_queue = "crop";
    job.m_name = aName;
    job.m_deadline = aDeadline;
    for (std::size_t i = 0; i < aTasks * aSteps.size(); ++i) {
      TaskSpec task;
      task.m_need = kTaskNeed;
      task.m_declaredRun = std::chrono::milliseconds(100);
      task.m_name = aName + "." + std::to_string(i);
      task.m_step = static_cast<std::uint32_t>(i / aTasks);
      task.m_preferredLabel = aPreferred;
      job.m_tasks.push_back(task);
    }
    job.m_steps = std::move(aSteps);
    HandleEvent(job);
    return { m_lastCaller };
  }

  /** Reports the fate of an offered attempt and a load with @p aFree. */
  void ReportFate(const SentOffer& aSent,
                  AttemptFate aFate,
                  Resources aFree = kWorkerCapacity)
  {
    ReportBatch batch;
    batch.m_load.m_sequence = ++m_sequence;
    batch.m_load.m_reportedAt = m_now;
    batch.m_load.m_freeCapacity = aFree;
    batch.m_load.m_lastOfferSequence = 1000;
    AttemptReport report;
    report.m_attempt = aSent.m_offer.m_attempt;
    report.m_fate = aFate;
    report.m_kind =
      aFate == AttemptFate::Failed ? ErrorKind::TaskFailed : ErrorKind::None;
    report.m_ranFor = std::chrono::milliseconds(100);
    batch.m_reports.push_back(report);
    Receive(aSent.m_agent, std::move(batch));
  }

private:
  std::uint64_t m_lastCaller = 100;
  std::uint64_t m_sequence = 1000;
};

} // namespace mulberrysail::core
