#pragma once

#include "core/internal/agent/attempt.h"

#include <map>
#include <set>
#include <utility>

namespace mulberrysail::core::agent {

/** Place in a queue: the expected run time, raised by the time of arrival as
 * the ageing demands, then the order of arrival. */
using QueueOrder = std::pair<std::int64_t, std::uint64_t>;

/** Entry and submission; sorts by them. */
using JobKey = std::pair<EntryIndex, SubmissionId>;

/** Requests that wait for a slot. */
struct RequestQueue
{
  std::map<QueueOrder, Attempt*> m_order;
  Duration m_work{};
};

/** The queued tasks of one job, longest first. */
struct JobQueue
{
  std::map<QueueOrder, Attempt*> m_tasks;
  Duration m_work{};
  Instant m_receivedAt;
  std::uint64_t m_sequence = 0;
  QueueOrder m_order;
};

/** Tasks that wait for room on a worker. */
struct TaskQueue
{
  std::map<JobKey, JobQueue> m_jobs;
  std::map<QueueOrder, JobKey> m_order;
  std::size_t m_size = 0;
  /** Expected run time times cores. */
  Duration m_work{};
};

/** What waits, by when it must be refused. */
using ExpirySection = std::map<std::pair<Instant, std::uint64_t>, Attempt*>;

} // namespace mulberrysail::core::agent
