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
  /** Add twice EntryPolicy::m_zoneDelay, for the offer and its report, to the
   * estimated delay of agents outside the entry's zone. */
  bool m_zoneAffinity = true;
};

using PlacementPolicy =
  std::variant<RandomPlacement, ProbePlacement, ReportedLoadPlacement>;

/** Dispatches the jobs of queues in ascending order of their size relative to
 * the mean of their queue. Maximizes the number of completed jobs, but delays
 * large ones. A baseline for comparison. */
struct SmallestFirst
{};

/** Dispatches the jobs of queues in the order in which they must start to meet
 * their objectives. */
struct LeastSlackFirst
{
  /** Added to a job's latest start time, for ordering only, per unit of
   * QueueConfig::m_priority. */
  Duration m_priorityStep = std::chrono::milliseconds(150);
};

using JobOrderPolicy = std::variant<SmallestFirst, LeastSlackFirst>;

/** The settings of an entry's decisions. */
struct EntryPolicy
{
  std::string m_zone;
  PlacementPolicy m_placement = ReportedLoadPlacement{};
  JobOrderPolicy m_jobOrder = LeastSlackFirst{};
  /** Learn the speed of each agent's workers from the tasks of queues, prefer
   * fast ones, and estimate the core time of jobs by mean run times. */
  bool m_learnTaskSpeed = false;
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
  /** The number of agents, ranked by rendezvous hashing, from which the agent
   * for the first submission of a caller key is chosen. */
  std::uint32_t m_keyCandidates = 4;
  /** How long the entry keeps the answers for caller keys and the records of
   * departed agents. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** How long agents keep a fence, that is, refuse offers whose claim yields to
   * it. Must exceed the longest deadline; offers past their deadline are
   * refused without a fence. */
  Duration m_fenceRetention = std::chrono::minutes(2);
  Duration m_heartbeatInterval = std::chrono::seconds(2);
  /** How long agents send load reports after an EntryHello of an entry with
   * waiting work; zero for no reports. */
  Duration m_subscribeFor = std::chrono::seconds(2);
  /** If no report on an attempt arrives, the entry sends a Reconcile this long
   * after the attempt's expected end. */
  Duration m_reconcileAfter = std::chrono::milliseconds(500);
  /** The longest interval between messages from an entry to an agent with open
   * attempts of that entry; zero for no such heartbeat. */
  Duration m_openAttemptHeartbeat{};
  /** If an agent with open attempts leaves heartbeats unanswered for this long,
   * the entry offers it no more work and sends it no more heartbeats, so that
   * the agent ends its runs. Without heartbeats (m_openAttemptHeartbeat is
   * zero), only the agent's lease applies. */
  Duration m_agentTimeout{};
  /** How long after the entry's last message to an agent all runs that the
   * agent started for this entry are certain to have ended; zero if that is
   * never certain. Must exceed AgentPolicy::m_entryTimeout + m_runLease,
   * because the agent may first lose its connection and then be paused. */
  Duration m_runsEndAfter{};
  /** Forward jobs to peers with free processor time, and accept jobs from
   * them. Requires m_processorShare and m_agentTimeout, which is also the
   * silence after which a peer with forwarded jobs is given up. */
  bool m_forwardJobs = false;
  /** Cores that the entry may use; zero if not known. */
  double m_processorShare = 0;
  /** Leave the load balancer's rotation for a few seconds and close some of the
   * callers' connections when the processor time runs out while peers have
   * some left. Requires m_processorShare. */
  bool m_shedConnections = false;
  /** Estimate the wait of a queue's job from the core time that waits at all
   * entries, as agents report it, instead of from the entry's own times the
   * number of entries. */
  bool m_sharedDemand = false;
  /** A request or task is given up after this many lost runs, since it may be
   * what crashes the workers. */
  std::uint32_t m_maxLostRuns = 3;
  /** Share of the agents of a service, in percent and rounded up, to which
   * tasks are restricted that may crash workers; 0 for no restriction. */
  std::uint32_t m_crashIsolationPercent = 20;
  /** Share of a service's workers, in percent and rounded down but at least one
   * worker, that get no work because their runs fail. If the runs of more
   * workers fail, all are used: the cause is none of them. */
  std::uint32_t m_maxQuarantinedPercent = 50;
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
  /** The longest time without a message to an entry, after which the agent
   * sends it an Announce as a heartbeat. */
  Duration m_heartbeatInterval = std::chrono::seconds(2);
  /** Entries remove the agent after this long without a message from it. */
  Duration m_lease = std::chrono::seconds(6);
  /** An endpoint gets no work after this long without an announcement. */
  Duration m_endpointLease = std::chrono::milliseconds(2500);
  /** A worker gets no work after this long without an announcement. Counts
   * from when the announcement was sent if the worker tells its clock. */
  Duration m_workerLease = std::chrono::seconds(6);
  /** The shortest interval between two load reports to one entry. */
  Duration m_reportInterval = std::chrono::milliseconds(10);
  /** How long freed capacity is held for the entry that it was granted to;
   * zero for no grants. */
  Duration m_capacityGrant{};
  /** How long the agent keeps final reports of attempts, to answer a later
   * Reconcile. */
  Duration m_reportRetention = std::chrono::seconds(30);
  /** How long the agent keeps the outcomes of attempts with caller keys. Fences
   * are kept for FenceQuery::m_retainFor. */
  Duration m_keyRetention = std::chrono::minutes(10);
  /** The most bytes of retained outputs; the oldest outputs are evicted
   * first. */
  std::uint64_t m_maxRetainedBytes = 8ULL << 20U;
  /** Reserve the resources that a task declares, regardless of the usage
   * learned for its service. */
  bool m_reserveDeclared = false;
  /** Leased workers: a run ends if its lease is not renewed for this long. */
  Duration m_runLease = std::chrono::milliseconds(600);
  /** Leased workers: the longest lease that a worker grants. */
  Duration m_maxRunLease = std::chrono::seconds(1);
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
