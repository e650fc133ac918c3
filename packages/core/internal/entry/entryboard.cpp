#include "core/internal/entry/entryboard.h"

#include "core/ientry.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** The top bits of every id hold the shard that created it. */
constexpr unsigned kShardShift = 56;
/** Added to the silence after which forwarded jobs are cancelled; part of the
 * time bound in docs/GUARANTEES.md. */
constexpr Duration kForwardCheckInterval = std::chrono::milliseconds(100);
/** Age of the last complete reading of the callers, while the entry runs as it
 * should. Covers three of the intervals at which the process states it. */
constexpr Duration kMaxUsualUnread = std::chrono::milliseconds(300);

} // namespace

std::uint8_t
ShardOf(SubmissionId aSubmission)
{
  return static_cast<std::uint8_t>(aSubmission.m_value >> kShardShift);
}

std::uint8_t
ShardOf(AttemptId aAttempt)
{
  return static_cast<std::uint8_t>(aAttempt.m_value >> kShardShift);
}

std::uint64_t
EntryBoard::NextId()
{
  return (static_cast<std::uint64_t>(m_shard) << kShardShift) | m_nextId++;
}

Submission*
EntryBoard::Find(SubmissionId aId)
{
  const auto found = m_submissions.find(aId);
  return found == m_submissions.end() ? nullptr : &found->second;
}

WorkItem*
EntryBoard::Find(WorkRef aWork)
{
  Submission* submission = Find(aWork.m_submission);
  return submission == nullptr ? nullptr
                               : &submission->m_items.at(aWork.m_index);
}

ServiceState&
EntryBoard::Service(const std::string& aName)
{
  return m_services[aName];
}

RunTimeModel&
EntryBoard::RunTimesOf(const Submission& aSubmission)
{
  return aSubmission.m_queue.empty() ? Service(aSubmission.m_service).m_runTimes
                                     : m_queues[aSubmission.m_queue].m_runTimes;
}

WaitPool&
EntryBoard::PoolOf(const Submission& aSubmission, const WorkItem& aItem)
{
  if (aSubmission.m_kind == WorkKind::Request) {
    return Service(aSubmission.m_service).m_requestPool;
  }
  return aItem.m_isIsolated ? m_isolatedPool : m_taskPool;
}

Duration
EntryBoard::UnreadFor(Instant aNow) const
{
  const Duration unread =
    m_callersReadUntil ? aNow - *m_callersReadUntil : Duration::zero();
  return unread > kMaxUsualUnread ? unread : Duration::zero();
}

Instant
EntryBoard::LeaseTime(Instant aNow) const
{
  return std::min(aNow, m_callersReadUntil.value_or(aNow));
}

EntryHello
EntryBoard::MakeHello() const
{
  EntryHello hello;
  hello.m_config = m_config.m_version;
  hello.m_draining = m_draining;
  hello.m_shard = m_shard;
  hello.m_drains = m_drains;
  return hello;
}

bool
EntryBoard::ForwardsJobs() const
{
  // Only the first shard exchanges messages with peers.
  return m_policy.m_forwardJobs && m_policy.m_processorShare > 0 &&
         m_policy.m_agentTimeout > Duration::zero() && m_shard == 0;
}

bool
EntryBoard::ExchangesLoad() const
{
  const bool sheds =
    m_policy.m_shedConnections && m_policy.m_processorShare > 0 && m_shard == 0;
  return sheds || ForwardsJobs();
}

void
EntryBoard::ArmForwardTimer(Instant aNow)
{
  if (!m_forwarding.m_isTimerArmed) {
    m_forwarding.m_isTimerArmed = true;
    m_timers.Add(aNow + kForwardCheckInterval, ForwardTimer{});
  }
}

std::uint32_t
EntryBoard::EntryCount() const
{
  return static_cast<std::uint32_t>(m_peers.size()) + 1;
}

} // namespace mulberrysail::core
