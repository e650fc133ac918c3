#pragma once

#include "core/types/answer.h"
#include "core/types/messages.h"

#include <cstdint>
#include <string>
#include <vector>

/** Status of the cores for operators and callers; copies that stay valid. */
namespace mulberrysail::core {

/** The progress and outcome of a submission. */
struct SubmissionStatus
{
  SubmissionId m_submission;
  std::string m_service;
  std::string m_team;
  /** Tasks that are neither offered nor completed; a request counts as one
   * task. */
  std::uint32_t m_waiting = 0;
  /** Tasks with an open offer to an agent. */
  std::uint32_t m_offered = 0;
  /** Completed tasks. */
  std::uint32_t m_done = 0;
  /** Present once the submission has ended. */
  std::optional<Answer> m_answer;
};

/** An agent's state as known to an entry. */
struct AgentStatus
{
  ProcessId m_agent;
  std::string m_zone;
  std::string m_httpAddress;
  bool m_leaving = false;
  /** False after a send failed or the agent became unresponsive, until a
   * message arrives from it. */
  bool m_reachable = true;
  std::optional<EndpointInfo> m_endpoint;
  std::vector<WorkerInfo> m_workers;
  LoadReport m_load;
  /** The entry's open attempts at this agent. */
  std::uint32_t m_openAttempts = 0;
  /** Learned factor by which tasks last longer at this agent than at one of
   * mean speed; 1 if nothing is learned. */
  double m_taskSlowdown = 1;
};

/** Counts of an entry core since its creation; m_open, m_waiting, m_agentsFast,
 * m_agentsSlow and those that say so are current values. */
struct EntryCounters
{
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_offers = 0;
  /** Offers that an agent refused. */
  std::uint64_t m_offersRefused = 0;
  std::uint64_t m_retries = 0;
  /** Agents whose load was read to place tasks. */
  std::uint64_t m_agentsCompared = 0;
  std::uint64_t m_repliesDropped = 0;
  /** Requests and jobs given up because runs were lost too often. */
  std::uint64_t m_givenUp = 0;
  /** Jobs passed to another entry. */
  std::uint64_t m_forwarded = 0;
  /** Jobs admitted for another entry. */
  std::uint64_t m_forwardsAccepted = 0;
  /** Forwarded jobs that the peer did not take. */
  std::uint64_t m_forwardsTakenBack = 0;
  std::uint64_t m_forwardsCancelled = 0;
  /** Forwarded jobs whose callers were told that they may have run. */
  std::uint64_t m_forwardsUnanswered = 0;
  /** Share of the arriving jobs that is forwarded, a current value. */
  std::uint64_t m_forwardPercent = 0;
  /** Used share of the allowed processor time, a current value. */
  std::uint64_t m_processorUsedPercent = 0;
  /** Runs that lasted too long to learn the speed of their agent from. */
  std::uint64_t m_longRuns = 0;
  /** Agents whose tasks are learned to run much faster or slower than the mean.
   */
  std::uint64_t m_agentsFast = 0;
  std::uint64_t m_agentsSlow = 0;
  /** Age in milliseconds of the newest figure of other entries' waiting work
   * when the last job of a queue arrived. */
  std::uint64_t m_othersDemandAgeMs = 0;
  /** Queues that are isolated because their tasks crash workers, a current
   * value. */
  std::uint64_t m_isolatedQueues = 0;
  std::uint64_t m_open = 0;
  /** Requests and tasks in the queues of the entry. */
  std::uint64_t m_waiting = 0;
};

/** Counts of an agent core since its creation; m_queued and m_running are
 * current values. */
struct AgentCounters
{
  std::uint64_t m_offersReceived = 0;
  std::uint64_t m_offersRefused = 0;
  /** Attempts, offered or queued, refused because the agent's zone is drained;
   * included in m_offersRefused. */
  std::uint64_t m_refusedForDrain = 0;
  std::uint64_t m_started = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_lost = 0;
  std::uint64_t m_revoked = 0;
  std::uint64_t m_reportsSent = 0;
  /** Losses of all runs of a worker at the same time. */
  std::uint64_t m_workerCrashes = 0;
  /** Grants of free capacity to entries, and those of them that ended with
   * unused capacity because their time had passed. */
  std::uint64_t m_grantsMade = 0;
  std::uint64_t m_grantsExpired = 0;
  /** Offers that were accepted within a grant. */
  std::uint64_t m_offersWithinGrant = 0;
  std::uint64_t m_queued = 0;
  std::uint64_t m_running = 0;
};

} // namespace mulberrysail::core
