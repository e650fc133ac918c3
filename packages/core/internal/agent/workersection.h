#pragma once

#include "core/types/messages.h"

#include <map>
#include <optional>
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
  std::uint32_t m_capacityPercent = 100;
};

/** What is known of the runs of a worker that holds them by leases. */
struct RunLease
{
  /** The life that is looked after. */
  std::string m_incarnation;
  /** A life that an announcement named; it may be an old one. */
  std::string m_announcedIncarnation;
  /** Set once it was observed: until then something may run there that an
   * earlier life of the agent has started. */
  bool m_observed = false;
  /** Runs that this life of the agent did not start. */
  bool m_hasForeignRuns = false;
  /** The observation that no answer has come to; 0 if there is none. */
  std::uint64_t m_ticket = 0;
  Instant m_observationSentAt;
  /** Whether the last observation was answered. */
  bool m_responsive = false;
  /** Not observed before this, after one that had no answer. */
  Instant m_nextObservation;
  /** The highest number of an end that was taken in, and that was told. */
  std::uint64_t m_lastEnd = 0;
  std::uint64_t m_acknowledged = 0;
  /** Nothing runs there after this unless it is renewed. */
  Instant m_runsEndBy;
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
  Resources m_foreignUsage;
  std::uint32_t m_running = 0;
  Breaker m_breaker;
  /** Present if its runs are held by leases. */
  std::optional<RunLease> m_lease;
};

struct WorkerSection
{
  std::map<std::string, Worker, std::less<>> m_workers;
  /** Set when tasks that wait may have lost the last worker for them. */
  bool m_recheckQueuedTasks = false;
  std::uint64_t m_nextTicket = 1;
};

} // namespace mulberrysail::core::agent
