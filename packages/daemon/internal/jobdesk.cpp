#include "daemon/internal/jobdesk.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

JobDesk::JobDesk(ShardSet& aShards,
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
JobDesk::Config() const
{
  return m_config.Get();
}

network::DisconnectHook
JobDesk::Submit(core::SubmitJob aJob, AnswerSink aSink)
{
  EntryShard& shard = m_shards.ForRequests(aJob.m_name);
  const core::CallerToken caller = shard.Submit(
    std::move(aJob),
    [this, sink = std::move(aSink), arrived = Now()](core::Answer aAnswer) {
      m_metrics.ObserveAnswer(core::WorkKind::Task, aAnswer, Now() - arrived);
      sink(std::move(aAnswer));
    });
  return [&shard, caller] { shard.Abandon(caller); };
}

std::optional<core::SubmissionStatus>
JobDesk::Find(const std::string& aName) const
{
  return m_shards.ForRequests(aName).Find(aName);
}

void
JobDesk::Cancel(core::SubmissionId aSubmission)
{
  if (EntryShard* const shard = m_shards.ForSubmission(aSubmission)) {
    shard->Handle(core::CancelSubmission{ aSubmission });
  }
}

std::size_t
JobDesk::PendingJobs(std::string_view aQueue) const
{
  std::size_t pending = 0;
  for (std::size_t i = 0; i < m_shards.Size(); ++i) {
    pending += m_shards.At(i).PendingJobs(aQueue);
  }
  return pending;
}

void
JobDesk::Reject(std::string_view aName, std::string aReason)
{
  m_events.Record(core::RecordEvent{ core::EventCode::SubmissionRejected,
                                     0,
                                     core::EventDetail().Add("why", aReason),
                                     std::string(aName) });
}

} // namespace mulberrysail::daemon
