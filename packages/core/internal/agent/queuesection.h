#pragma once

#include "core/internal/agent/attempt.h"

#include <map>
#include <set>
#include <utility>

namespace mulberrysail::core::agent {

/** Sort key of a queue: a value in the unit of Duration, lowest first, then the
 * order of arrival. The value is the expected run time plus the arrival time
 * weighted by the ageing factor for requests and jobs, the negated expected run
 * time for the tasks of a job, and Offer::m_dispatchTime for jobs of a caller's
 * queue.
 */
using QueueSortKey = std::pair<std::int64_t, std::uint64_t>;

/** Entry and submission of a job. */
using JobKey = std::pair<EntryIndex, SubmissionId>;

/** Requests that wait for a free slot. */
struct RequestQueue
{
  std::map<QueueSortKey, Attempt*> m_order;
  /** Sum of the expected run times. */
  Duration m_work{};
};

/** The queued tasks of one job, longest expected run first. */
struct JobQueue
{
  std::map<QueueSortKey, Attempt*> m_tasks;
  /** Sum of the expected run times. */
  Duration m_work{};
  /** When the first task of the job was accepted. */
  Instant m_receivedAt;
  std::uint64_t m_sequence = 0;
  QueueSortKey m_sortKey;
};

/** Tasks that wait for free capacity on a worker. */
struct TaskQueue
{
  std::map<JobKey, JobQueue> m_jobs;
  std::map<QueueSortKey, JobKey> m_order;
  /** Number of tasks of all jobs. */
  std::size_t m_size = 0;
  /** Sum of CoreTime() of all queued tasks. */
  Duration m_coreTime{};
};

/** Queued attempts, by the time at which they must be refused. */
using ExpirySection = std::map<std::pair<Instant, std::uint64_t>, Attempt*>;

} // namespace mulberrysail::core::agent
