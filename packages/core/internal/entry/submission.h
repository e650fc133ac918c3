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
  /** The agent that refused it last; not asked again at once. */
  ProcessId m_lastRefusedBy;
  std::uint32_t m_refusals = 0;
  /** An earlier attempt may have run, so that 'not run' can't be said. */
  bool m_doubtful = false;
  std::string m_output;
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
};

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
