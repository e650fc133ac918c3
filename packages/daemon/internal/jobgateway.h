#pragma once

#include "daemon/iadapter.h"
#include "daemon/internal/configholder.h"
#include "daemon/internal/responsemetrics.h"
#include "daemon/internal/shardset.h"
#include "telemetry/ieventlog.h"

namespace mulberrysail::daemon {

/** Submits the jobs of an adapter's callers to the shards. The shard is chosen
 * by the job's name, so that repeated submissions of a job reach the same
 * shard. */
class JobGateway : public IJobGateway
{
public:
  /** All arguments must outlive the gateway. */
  JobGateway(ShardSet& aShards,
             const ConfigHolder& aConfig,
             ResponseMetrics& aMetrics,
             telemetry::IEventLog& aEvents);

  std::shared_ptr<const core::ConfigChanged> Config() const override;
  network::DisconnectHook Submit(core::SubmitJob aJob,
                                 AnswerSink aSink) override;
  std::optional<core::SubmissionStatus> FindStatusByName(
    const std::string& aName) const override;
  void Cancel(core::SubmissionId aSubmission) override;
  std::size_t CountPendingJobs(std::string_view aQueue) const override;
  void RecordRejection(std::string_view aName, std::string aReason) override;

private:
  ShardSet& m_shards;
  const ConfigHolder& m_config;
  ResponseMetrics& m_metrics;
  telemetry::IEventLog& m_events;
};

} // namespace mulberrysail::daemon
