#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mulberrysail::core {

/** Places each attempt on any agent with equal chance. A baseline. */
struct RandomPlacement
{};

/** Asks two agents for their load and takes the better. A baseline. */
struct ProbePlacement
{
  std::uint32_t m_probes = 2;
};

/** Places by the last reported load plus the entry's own open offers. */
struct ReportedLoadPlacement
{
  /** Scale run times by what was learned of each agent. */
  bool m_learnSpeed = true;
  /** Prefer agents in the entry's own zone by the hop that it saves. */
  bool m_zoneAffinity = true;
};

using PlacementPolicy =
  std::variant<RandomPlacement, ProbePlacement, ReportedLoadPlacement>;

/** Jobs of queues go in the order of their size, relative to their queue's
 * mean. Serves the most jobs, and the largest ones last. A baseline. */
struct SmallestFirst
{};

/** Jobs of queues go in the order in which they must start to meet their
 * objectives; one of a lower priority as if it had this much more time for each
 * step between the priorities. */
struct LeastSlackFirst
{
  Duration m_priorityStep = std::chrono::milliseconds(150);
};

using JobOrderPolicy = std::variant<SmallestFirst, LeastSlackFirst>;

/** How an entry decides. */
struct EntryPolicy
{
  std::string m_zone;
  PlacementPolicy m_placement = ReportedLoadPlacement{};
  JobOrderPolicy m_jobOrder = LeastSlackFirst{};
  /** Offers that may wait at an agent beyond its free slots. */
  std::uint32_t m_agentQueueDepth = 4;
  /** Waiting work is promoted by its age: this share of the time waited is
   * taken off its expected run time in the order of the queue. */
  double m_ageing = 0.2;
  /** Retries allowed per hundred first attempts. */
  std::uint32_t m_retryBudgetPercent = 20;
  /** One way between zones; what placing in the own zone saves. */
  Duration m_zoneDelay = std::chrono::microseconds(1000);
  /** Agents among which the first placement of a caller key is chosen. */
  std::uint32_t m_keyCandidates = 4;
  /** How long answers of caller keys, and departed agents, are remembered. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** How long agents refuse earlier claims of a key; longer than any deadline,
   * after which an offer lapses by itself. */
  Duration m_fenceRetention = std::chrono::minutes(2);
  Duration m_heartbeat = std::chrono::seconds(2);
  /** How long agents tell an entry with waiting work of room; 0 for never. */
  Duration m_subscription = std::chrono::seconds(2);
  /** An entry that has heard nothing about an attempt for this long after it
   * should have ended asks the agent. */
  Duration m_reconcileAfter = std::chrono::milliseconds(500);
  /** An entry with open attempts at an agent lets it hear something at least
   * this often; zero for no such heartbeat. */
  Duration m_openHeartbeat{};
  /** An agent with open attempts that is silent for this long gets no more
   * work, and is asked what became of them; zero for the lease alone. */
  Duration m_agentTimeout{};
  /** What ran at an agent has ended this long after the last message to it;
   * zero if that is never known. Longer than the agents' entry silence and run
   * lease together: an agent may be cut off first and stand still then. */
  Duration m_runsEndAfter{};
  /** Finished jobs stay readable by status for this long. */
  Duration m_statusRetention = std::chrono::minutes(1);
};

/** How an agent decides. */
struct AgentPolicy
{
  std::string m_zone;
  std::string m_httpAddress;
  /** Attempts that may wait in the queue of requests; more are refused. */
  std::uint32_t m_maxQueuedRequests = 64;
  /** Attempts that may wait in the queue of tasks; more are refused. */
  std::uint32_t m_maxQueuedTasks = 4096;
  Duration m_heartbeat = std::chrono::seconds(2);
  /** Entries forget the agent after this much silence. */
  Duration m_lease = std::chrono::seconds(6);
  /** An endpoint or worker that is silent for this long gets no work. */
  Duration m_endpointLease = std::chrono::milliseconds(2500);
  Duration m_workerLease = std::chrono::seconds(6);
  /** Least time between two load reports to one entry. */
  Duration m_reportInterval = std::chrono::milliseconds(10);
  /** Answers are kept this long for a reconcile. */
  Duration m_answerRetention = std::chrono::seconds(30);
  /** Answers and fences of caller keys are kept this long. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** Bytes of kept outputs; the oldest go first. */
  std::uint64_t m_maxRetainedBytes = 8ULL << 20U;
  /** Set aside what a task declares, whatever was learned of its service. */
  bool m_reserveDeclared = false;
  /** Leased workers: a run ends if it isn't renewed for this long. */
  Duration m_runLease = std::chrono::milliseconds(600);
  /** Leased workers: the answer to an observation waits for an end at most
   * this long; less than half of the lease. */
  Duration m_observeWait = std::chrono::milliseconds(200);
  /** Open attempts of an entry that is silent for this long are ended; zero
   * for never. */
  Duration m_entryTimeout{};
  /** Failures in a row that quarantine a worker. */
  std::uint32_t m_breakerFailures = 3;
  Duration m_breakerPause = std::chrono::seconds(5);
  /** Waiting work is promoted by its age: this share of the time waited is
   * taken off its expected run time in the order of the queue. */
  double m_ageing = 0.5;
};

} // namespace mulberrysail::core
