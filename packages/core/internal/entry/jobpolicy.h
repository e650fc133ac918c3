#pragma once

#include "core/internal/entry/demandview.h"
#include "core/internal/entry/entryboard.h"

#include <optional>

namespace mulberrysail::core {

/** @return mean run time multiplied by cores, summed over all tasks of
 * @p aJob. */
Duration
CoreTimeOf(const Submission& aJob);

/**
 * Computes the order of a queue's job among the waiting jobs; lower values are
 * dispatched first.
 *
 * The order matters when the load exceeds the capacity of the workers. With
 * SmallestFirst, jobs that are small for their queue are dispatched first, so
 * that most callers are served. With LeastSlackFirst, jobs that must start
 * earliest are dispatched first, so that large jobs are served as often as
 * others.
 */
std::int64_t
JobOrder(const EntryBoard& aBoard, const Submission& aJob);

/** @return m_due minus the expected run time of the longest chain of @p aJob,
 * plus a delay per priority level. With LeastSlackFirst, jobs with an earlier
 * result are dispatched first. */
Instant
LatestStartByPriority(const EntryBoard& aBoard, const Submission& aJob);

/** The load ahead of a job on its arrival. */
struct JobLoad
{
  /** How far this entry's messages are behind; part of m_wait. */
  Duration m_messageDelay{};
  /** Expected wait, and the longest wait with which the job is admitted. */
  Duration m_wait{};
  Duration m_maxWait{};
  /** Core time that waits at this entry and is dispatched before the job. */
  Duration m_coreTimeAhead{};
  /** Core time that waits at other entries with the job's priority or a more
   * urgent one, and the age of the newest figure of it; empty without
   * EntryPolicy::m_sharedDemand. */
  std::optional<OthersWork> m_others;
  /** Core time that waits at agents. */
  Duration m_coreTimeAtAgents{};
  /** Cores of all workers that receive work. */
  double m_cores = 0;
  /** Free cores of all agents as last reported, in thousandths. */
  std::uint64_t m_freeMilliCores = 0;
  /** Age of the oldest load report used for the figures of the agents. */
  Duration m_oldestReport{};
};

/**
 * Estimates the load ahead of a queue's job. The job should be refused if
 * m_wait exceeds m_maxWait: when the load exceeds the capacity of the workers,
 * admitting all work makes every later answer late.
 * @param aJob a job whose tasks, m_due and m_queue are set.
 */
JobLoad
LoadAhead(EntryBoard& aBoard, Instant aNow, const Submission& aJob);

/** @return the load as name=value pairs, for logs and answers. */
std::string
DescribeLoad(const JobLoad& aLoad);

/** Updates the mean job size of the queue of @p aJob. Refused jobs count as
 * well. */
void
UpdateMeanCoreTime(EntryBoard& aBoard, const Submission& aJob);

} // namespace mulberrysail::core
