#include "daemon/internal/jobgateway.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

JobGateway::JobGateway(ShardSet& aShards,
                       const ConfigHolder& aConfig,
                       ResponseMetrics& aMetrics,
                       telemetry::IEventLog& aEvents)
  : m_shards(aShards)
  , m_config(aConfig)
  , m_metrics(aMetrics)
  , m_events(aEvents)
{
}

std::shared_ptr<const core::ConfigChanged>
JobGateway::Config() const
{
  return m_config.Get();
}

network::DisconnectHook
JobGateway::Submit(core::SubmitJob aJob, AnswerSink aSink)
{
  EntryShard& shard = m_shards.ShardForName(aJob.m_name);
  const core::CallerToken caller = shard.Submit(
    std::move(aJob),
    [this, sink = std::move(aSink), arrived = Now()](core::Answer aAnswer) {
      m_metrics.ObserveAnswer(core::WorkKind::Task, aAnswer, Now() - arrived);
      sink(std::move(aAnswer));
    });
  return [&shard, caller] { shard.HandleDisconnect(caller); };
}

std::optional<core::SubmissionStatus>
JobGateway::FindStatusByName(const std::string& aName) const
{
  return m_shards.ShardForName(aName).FindStatusByName(aName);
}

void
JobGateway::Cancel(core::SubmissionId aSubmission)
{
  if (EntryShard* const shard = m_shards.ShardForSubmission(aSubmission)) {
    shard->Handle(core::CancelSubmission{ aSubmission });
  }
}

std::size_t
JobGateway::CountPendingJobs(std::string_view aQueue) const
{
  std::size_t pending = 0;
  for (std::size_t i = 0; i < m_shards.Size(); ++i) {
    pending += m_shards.At(i).CountPendingJobs(aQueue);
  }
  return pending;
}

void
JobGateway::RecordRejection(std::string_view aName, std::string aReason)
{
  m_events.Record(core::RecordEvent{ core::EventCode::SubmissionRejected,
                                     0,
                                     core::EventDetail().Add("why", aReason),
                                     std::string(aName) });
}

} // namespace mulberrysail::daemon
