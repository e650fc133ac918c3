#pragma once

#include "core/types/answer.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** State of one request or task at its entry. */
enum class WorkState : std::uint8_t
{
  /** Waits for tasks of earlier steps. */
  Blocked,
  /** Agents are being queried whether they hold its caller key. Also marks an
   * abandoned item, which is not in its wait queue, until its submission has
   * failed. */
  Claiming,
  /** Agents are being queried for their load. */
  Probing,
  Waiting,
  Offered,
  Done,
};

/** One request, or one task of a job. */
struct WorkItem
{
  Resources m_need;
  Duration m_declaredRun{};
  Duration m_expectedRun{};
  /** Mean run time of tasks with the same expected run time, which is a typical
   * one; the same value unless task speeds are learned. Not set for requests.
   */
  Duration m_meanRun{};
  std::string m_payload;
  WorkState m_state = WorkState::Waiting;
  /** Its order in the wait queue; empty until it is first enqueued. */
  std::optional<std::int64_t> m_order;
  /** The latest instant at which a start is still useful. */
  Instant m_startBy;
  /** The open attempt, if the item is offered. */
  AttemptId m_attempt;
  ProcessId m_agent;
  Instant m_offeredAt;
  /** Age of the load report on which the last offer was placed. */
  Duration m_loadAgeAtOffer{};
  /** The agent of the last attempt that was refused, failed or was interrupted.
   * A task is not offered to it again before a load report is received from it
   * after m_lastAttemptEndedAt. A request is not offered to it again under
   * ReportedLoadPlacement. */
  ProcessId m_lastAttemptedAgent;
  Instant m_lastAttemptEndedAt;
  /** Attempts that ended without success and had to be retried; includes the
   * last attempt of an abandoned item. */
  std::uint32_t m_retries = 0;
  /** Whether an agent refused an attempt because its zone was drained. */
  bool m_wasRefusedForDrain = false;
  /** True if an earlier attempt may have run, so that the answer must not say
   * that nothing ran. */
  bool m_mayHaveRun = false;
  /** The caller's name for the task; empty if it gave none. */
  std::string m_name;
  std::string m_requiredLabel;
  std::string m_preferredLabel;
  std::uint32_t m_step = 0;
  /** Expected run time of the longest chain of steps that depend on the item's
   * step. */
  Duration m_successorRun{};
  /** Whether the item waits in EntryBoard::m_isolatedPool. */
  bool m_isIsolated = false;
  /** Number of offers made for the item so far; sent in Offer::m_startNumber.
   */
  std::uint32_t m_offers = 0;
  /** Attempts that ran and failed. */
  std::uint32_t m_failures = 0;
  /** Attempts whose run was lost by the agent, or with it. */
  std::uint32_t m_lostRuns = 0;
  std::string m_output;
  /** Run time from start to finish, as the agent measured it. */
  Duration m_ranFor{};
};

/** @return whether an attempt of @p aItem has started or may have started. */
inline bool
MayHaveRun(const WorkItem& aItem)
{
  return aItem.m_mayHaveRun || aItem.m_state == WorkState::Offered ||
         aItem.m_state == WorkState::Done;
}

/** One step of a job. */
struct StepState
{
  /** Earlier steps whose tasks must all be done first. */
  std::vector<std::uint32_t> m_prerequisites;
  /** Most tasks of the step that may be offered to one agent at a time; 0 for
   * no limit. */
  std::uint32_t m_maxTasksPerAgent = 0;
  /** Tasks that are not done. */
  std::uint32_t m_unfinishedTasks = 0;
  /** Expected run time of its longest task. */
  Duration m_longest{};
};

/** An open request (one item) or job (one item per task). */
struct Submission
{
  SubmissionId m_id;
  CallerToken m_caller;
  WorkKind m_kind = WorkKind::Request;
  std::string m_service;
  std::string m_team;
  bool m_repeatable = false;
  std::optional<CallerKey> m_key;
  Instant m_admittedAt;
  Instant m_deadline;
  std::vector<WorkItem> m_items;
  /** Items that are done. */
  std::uint32_t m_done = 0;
  /** Steps of a job, at least one; empty for a request. */
  std::vector<StepState> m_steps;

  /** The queue that the job was submitted to; empty if there is none.
   * m_priority, m_maxAttempts and m_due are set only for a queue's job. */
  std::string m_queue;
  /** The caller's name for the submission; may be empty. */
  std::string m_name;
  std::uint32_t m_priority = 0;
  std::uint32_t m_maxAttempts = 1;
  /** When the job must be done to meet the objective of its queue. */
  Instant m_due;
  /** Callers of later submissions of the same name that wait for the answer. */
  std::vector<CallerToken> m_joinedCallers;
};

/** @return whether only the agents of KeyCandidates() may get the submission.
 */
inline bool
IsRestrictedToCandidates(const Submission& aSubmission)
{
  return aSubmission.m_key.has_value() && !aSubmission.m_repeatable;
}

/** @return the caller key if there is one, else the caller's name for the
 * submission; may be empty. */
inline std::string
NameForLog(const Submission& aSubmission)
{
  return aSubmission.m_key ? aSubmission.m_key->m_key : aSubmission.m_name;
}

/** Refers to one item of one submission. */
struct WorkRef
{
  SubmissionId m_submission;
  std::uint32_t m_index = 0;

  // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
  auto operator<=>(const WorkRef&) const =
    default; // NOLINT(modernize-use-nullptr)
};

} // namespace mulberrysail::core
