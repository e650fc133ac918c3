#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mulberrysail::core {

/** Places each attempt on an agent chosen uniformly at random. A baseline for
 * comparison. */
struct RandomPlacement
{};

/** Queries the load of m_probes random agents and picks the least loaded one.
 * A baseline for comparison. */
struct ProbePlacement
{
  std::uint32_t m_probes = 2;
};

/** Places attempts by each agent's last reported load plus the entry's own open
 * offers to it. */
struct ReportedLoadPlacement
{
  /** Scale expected run times by the learned speed of each agent. */
  bool m_learnSpeed = true;
  /** Prefer agents in the entry's own zone by the delay of the saved hop; see
   * EntryPolicy::m_zoneDelay. */
  bool m_zoneAffinity = true;
};

using PlacementPolicy =
  std::variant<RandomPlacement, ProbePlacement, ReportedLoadPlacement>;

/** Dispatches the jobs of queues in ascending order of their size relative to
 * the mean of their queue. Serves the most jobs, and the largest ones last. A
 * baseline for comparison. */
struct SmallestFirst
{};

/** Dispatches the jobs of queues in the order in which they must start to meet
 * their objectives. */
struct LeastSlackFirst
{
  /** The extra time that a job is treated as having for each step by which its
   * priority is lower. */
  Duration m_priorityStep = std::chrono::milliseconds(150);
};

using JobOrderPolicy = std::variant<SmallestFirst, LeastSlackFirst>;

/** The settings of an entry's decisions. */
struct EntryPolicy
{
  std::string m_zone;
  PlacementPolicy m_placement = ReportedLoadPlacement{};
  JobOrderPolicy m_jobOrder = LeastSlackFirst{};
  /** The most offers that may wait at an agent beyond its free slots. */
  std::uint32_t m_agentQueueDepth = 4;
  /** Ageing: the queue orders work by expected run time minus this share of the
   * time that the work has waited. */
  double m_ageingFactor = 0.2;
  /** The number of retries allowed per hundred first attempts. */
  std::uint32_t m_retryBudgetPercent = 20;
  /** The one-way delay between zones, which placement in the entry's own zone
   * saves. */
  Duration m_zoneDelay = std::chrono::microseconds(1000);
  /** The number of agents from which the first placement of a caller key is
   * chosen. */
  std::uint32_t m_keyCandidates = 4;
  /** Retention of the answers of caller keys and of departed agents. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** How long agents refuse earlier claims of a key. Must exceed every
   * deadline, after which an offer expires without a fence. */
  Duration m_fenceRetention = std::chrono::minutes(2);
  Duration m_heartbeatInterval = std::chrono::seconds(2);
  /** How long agents send load reports to an entry with waiting work; 0 for no
   * such reports. */
  Duration m_subscribeFor = std::chrono::seconds(2);
  /** How long after an attempt's expected end without a report the entry asks
   * the agent for its state. */
  Duration m_reconcileAfter = std::chrono::milliseconds(500);
  /** The longest interval between messages from an entry to an agent with open
   * attempts of that entry; zero for no such heartbeat. */
  Duration m_openAttemptHeartbeat{};
  /** An agent with open attempts that sends no message for this long gets no
   * more work, and is asked for their state; zero for the lease alone. */
  Duration m_agentTimeout{};
  /** The time after the last message to an agent at which all its runs of this
   * entry are known to have ended; zero if that is never known. Must exceed the
   * sum of AgentPolicy::m_entryTimeout and m_runLease, because an agent may
   * first be disconnected and then be paused. */
  Duration m_runsEndAfter{};
  /** Retention of the status of finished jobs. */
  Duration m_statusRetention = std::chrono::minutes(1);
};

/** The settings of an agent's decisions. */
struct AgentPolicy
{
  std::string m_zone;
  std::string m_httpAddress;
  /** The most attempts in the queue of requests; further ones are refused. */
  std::uint32_t m_maxQueuedRequests = 64;
  /** The most attempts in the queue of tasks; further ones are refused. */
  std::uint32_t m_maxQueuedTasks = 4096;
  Duration m_heartbeatInterval = std::chrono::seconds(2);
  /** Entries remove the agent after this long without a message from it. */
  Duration m_lease = std::chrono::seconds(6);
  /** An endpoint gets no work after this long without an announcement. */
  Duration m_endpointLease = std::chrono::milliseconds(2500);
  /** A worker gets no work after this long without an announcement. */
  Duration m_workerLease = std::chrono::seconds(6);
  /** The shortest interval between two load reports to one entry. */
  Duration m_reportInterval = std::chrono::milliseconds(10);
  /** Retention of answers, for a later Reconcile. */
  Duration m_reportRetention = std::chrono::seconds(30);
  /** Retention of the answers and fences of caller keys. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** The most bytes of retained outputs; the oldest outputs are evicted
   * first. */
  std::uint64_t m_maxRetainedBytes = 8ULL << 20U;
  /** Reserve the resources that a task declares, regardless of the usage
   * learned for its service. */
  bool m_reserveDeclared = false;
  /** Leased workers: a run ends if its lease is not renewed for this long. */
  Duration m_runLease = std::chrono::milliseconds(600);
  /** Leased workers: the longest time for which a worker may delay its answer
   * to ObserveRuns while no run ends. Must be less than half of m_runLease. */
  Duration m_observeWait = std::chrono::milliseconds(200);
  /** The open attempts of an entry are ended after this long without a message
   * from it; zero for never. */
  Duration m_entryTimeout{};
  /** The number of consecutive failures that quarantine a worker. */
  std::uint32_t m_quarantineFailures = 3;
  /** The duration of a worker's first quarantine. It doubles with each further
   * quarantine until the worker has recovered. */
  Duration m_quarantineDuration = std::chrono::seconds(5);
  /** Ageing: the queue orders work by expected run time minus this share of the
   * time that the work has waited. */
  double m_ageingFactor = 0.5;
};

} // namespace mulberrysail::core
