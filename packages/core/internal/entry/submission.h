#pragma once

#include "core/types/answer.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** Where one request or task stands at its entry. */
enum class WorkState : std::uint8_t
{
  /** Tasks of earlier steps must be done first. */
  Blocked,
  /** Agents are being asked whether its caller key is held. */
  Claiming,
  /** Agents are being asked for their load. */
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
  std::string m_payload;
  WorkState m_state = WorkState::Waiting;
  /** Its place in the order of the wait queue, once it had one. */
  std::optional<std::int64_t> m_order;
  /** The last instant at which a start still makes sense. */
  Instant m_startBy;
  /** The open attempt, if it is offered. */
  AttemptId m_attempt;
  ProcessId m_agent;
  Instant m_offeredAt;
  /** The agent that refused it last; not asked again before it has told of
   * its room since. */
  ProcessId m_lastRefusedBy;
  Instant m_refusedAt;
  std::uint32_t m_refusals = 0;
  /** An earlier attempt may have run, so that 'not run' can't be said. */
  bool m_mayHaveRun = false;
  /** The caller's name for the task; empty if it gave none. */
  std::string m_name;
  std::string m_requiredLabel;
  std::string m_preferredLabel;
  std::uint32_t m_step = 0;
  /** Expected run of the longest chain of steps that waits for it. */
  Duration m_successorRun{};
  /** Offers so far; numbers the starts. */
  std::uint32_t m_offers = 0;
  /** Attempts that ran and failed. */
  std::uint32_t m_failures = 0;
  std::string m_output;
  /** From start to finish, as the agent saw it. */
  Duration m_ranFor{};
};

/** @return whether something of @p aItem has started, or may have. */
inline bool
MayHaveRun(const WorkItem& aItem)
{
  return aItem.m_mayHaveRun || aItem.m_state == WorkState::Offered ||
         aItem.m_state == WorkState::Done;
}

/** One step of a job. */
struct StepState
{
  /** Earlier steps, all of whose tasks must be done first. */
  std::vector<std::uint32_t> m_after;
  std::uint32_t m_mostPerWorker = 0;
  /** Tasks that aren't done. */
  std::uint32_t m_unfinishedTasks = 0;
  /** Expected run of its longest task. */
  Duration m_longest{};
};

/** A request (one item) or a job (one item a task), until it is answered. */
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
  std::uint32_t m_done = 0;
  /** Of a job; one at least. */
  std::vector<StepState> m_steps;

  /** The queue that it came through; empty if there is none. What follows is
   * meaningful only if there is one. */
  std::string m_queue;
  /** The caller's name for it. */
  std::string m_name;
  std::uint32_t m_priority = 0;
  std::uint32_t m_maxAttempts = 1;
  /** When it should be done to meet its objective. */
  Instant m_due;
  /** Other submissions of the same name that wait for the answer. */
  std::vector<CallerToken> m_joinedCallers;
};

/** @return what the caller calls it, or nothing. */
inline std::string
NameForLog(const Submission& aSubmission)
{
  return aSubmission.m_key ? aSubmission.m_key->m_key : aSubmission.m_name;
}

/** Names one item of one submission. */
struct WorkRef
{
  SubmissionId m_submission;
  std::uint32_t m_index = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const WorkRef&) const =
    default; // NOLINT(modernize-use-nullptr)
};

} // namespace mulberrysail::core
