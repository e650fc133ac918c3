#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>

namespace mulberrysail::core {

/** @return expected run time times cores of all tasks of @p aJob. */
Duration
CoreWorkOf(const Submission& aJob);

/** @return expected run time of the longest task of @p aJob. */
Duration
LongestOf(const Submission& aJob);

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

/**
 * Decides on arrival whether a queue's job can still meet its objective.
 *
 * Answers a load beyond the workers' room, under which work that is taken in
 * regardless makes all later answers late.
 * @param aJob its tasks, m_due and m_queue are set.
 * @return how long the work ahead of it takes, if that is too long.
 */
std::optional<Duration>
TooMuchAhead(EntryBoard& aBoard, Instant aNow, const Submission& aJob);

/** Takes note of a job that arrived, refused or not. */
void
LearnArrival(EntryBoard& aBoard, const Submission& aJob);

} // namespace mulberrysail::core
