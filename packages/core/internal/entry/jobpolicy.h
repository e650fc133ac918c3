#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>

namespace mulberrysail::core {

/** @return expected run time times cores of all tasks of @p aJob. */
Duration
CoreTimeOf(const Submission& aJob);

/**
 * The place of a queue's job among those that wait; a lower one goes first.
 *
 * Answers a load beyond the workers' room: with SmallestFirst, jobs that are
 * small for their queue go first, so that most callers are served; with
 * LeastSlackFirst those whose time is up first, so that large ones are served
 * as often as others.
 */
std::int64_t
JobOrder(const EntryBoard& aBoard, const Submission& aJob);

/** When the turn of a queue's job comes, as an instant to compare by. */
Instant
PriorityInstantOf(const EntryBoard& aBoard, const Submission& aJob);

/** What a job finds ahead of it when it arrives. */
struct JobLoad
{
  /** How long it is expected to wait, and may to meet its objective. */
  Duration m_wait{};
  Duration m_maxWait{};
  /** Core time that waits at this entry and goes first. */
  Duration m_coreTimeAhead{};
  /** Core time that waits at agents. */
  Duration m_coreTimeAtAgents{};
  /** Of all workers that get work. */
  double m_cores = 0;
  /** As last reported. */
  std::uint64_t m_freeMilliCores = 0;
  /** Age of the oldest report that the figures of the agents rest on. */
  Duration m_oldestReport{};
};

/**
 * Looks at what a queue's job finds ahead of it. One that would wait too long
 * is refused on arrival.
 *
 * Answers a load beyond the workers' room, under which work that is taken in
 * regardless makes all later answers late.
 * @param aJob its tasks, m_due and m_queue are set.
 */
JobLoad
LoadAhead(EntryBoard& aBoard, Instant aNow, const Submission& aJob);

/** @return the load as name=value pairs, for logs and answers. */
std::string
DescribeLoad(const JobLoad& aLoad);

/** Takes note of a job that arrived, refused or not. */
void
RecordArrival(EntryBoard& aBoard, const Submission& aJob);

} // namespace mulberrysail::core
