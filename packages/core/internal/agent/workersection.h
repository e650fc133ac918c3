#pragma once

#include "core/types/messages.h"

#include <map>
#include <string>

namespace mulberrysail::core::agent {

/** Whether a worker gets work, after its failures. */
enum class BreakerState : std::uint8_t
{
  Closed,
  /** No work until the pause is over. */
  Open,
  /** One task at a time until one succeeds. */
  Probing,
  /** Part of its room, more with each success. */
  Restoring,
};

/** The failures of one worker. */
struct Breaker
{
  BreakerState m_state = BreakerState::Closed;
  std::uint32_t m_failures = 0;
  /** Entry and job of the first failure in a row. */
  std::pair<std::uint32_t, SubmissionId> m_firstJob;
  bool m_severalJobs = false;
  Duration m_pause{};
  Instant m_openUntil;
  /** Share of the room that may be used, in percent. */
  std::uint32_t m_roomPercent = 100;
};

/** A worker that this agent looks after. */
struct Worker
{
  WorkerInfo m_info;
  std::string m_url;
  Instant m_leaseEnds;
  bool m_leaving = false;
  /** Set if a connection was refused; cleared by its next announcement. */
  bool m_unreachable = false;
  /** Set aside for tasks that run there. */
  Resources m_used;
  /** Reported of tasks that other agents have started there. */
  Resources m_foreign;
  std::uint32_t m_running = 0;
  Breaker m_breaker;
};

struct WorkerSection
{
  std::map<std::string, Worker, std::less<>> m_workers;
  /** Set when tasks that wait may have lost the last worker for them. */
  bool m_shrunk = false;
};

} // namespace mulberrysail::core::agent
