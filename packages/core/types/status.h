#pragma once

#include "core/types/answer.h"
#include "core/types/messages.h"

#include <cstdint>
#include <string>
#include <vector>

/** What the cores show to operators and callers; copies, safe to keep. */
namespace mulberrysail::core {

/** Where a submission stands. */
struct SubmissionStatus
{
  SubmissionId m_submission;
  std::string m_service;
  std::string m_team;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_offered = 0;
  std::uint32_t m_done = 0;
  /** Present when it is over. */
  std::optional<Answer> m_answer;
};

/** An agent as an entry sees it. */
struct AgentStatus
{
  ProcessId m_agent;
  std::string m_zone;
  std::string m_httpAddress;
  bool m_leaving = false;
  /** False while nothing is heard of it. */
  bool m_reachable = true;
  std::optional<EndpointInfo> m_endpoint;
  std::vector<WorkerInfo> m_workers;
  LoadReport m_load;
  /** Attempts of this entry that are open there. */
  std::uint32_t m_openAttempts = 0;
};

/** What an entry core counts, since it was made. */
struct EntryCounters
{
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_offers = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_repliesDropped = 0;
  std::uint64_t m_open = 0;
  std::uint64_t m_waiting = 0;
};

/** What an agent core counts, since it was made. */
struct AgentCounters
{
  std::uint64_t m_offersReceived = 0;
  std::uint64_t m_offersRefused = 0;
  std::uint64_t m_started = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_lost = 0;
  std::uint64_t m_revoked = 0;
  std::uint64_t m_reportsSent = 0;
  std::uint64_t m_queued = 0;
  std::uint64_t m_running = 0;
};

} // namespace mulberrysail::core
