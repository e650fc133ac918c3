#pragma once

#include "core/internal/configtransfer.h"
#include "core/internal/entry/agentrecord.h"
#include "core/internal/entry/arrivalmeter.h"
#include "core/internal/entry/crashledger.h"
#include "core/internal/entry/fairsharetracker.h"
#include "core/internal/entry/forwardstate.h"
#include "core/internal/entry/messageprogress.h"
#include "core/internal/entry/queueisolation.h"
#include "core/internal/entry/retrybudget.h"
#include "core/internal/entry/revocations.h"
#include "core/internal/entry/runtimemodel.h"
#include "core/internal/entry/submission.h"
#include "core/internal/entry/taskspeeds.h"
#include "core/internal/entry/timerqueue.h"
#include "core/internal/entry/waitqueue.h"
#include "core/types/commands.h"
#include "core/types/configuration.h"
#include "core/types/policy.h"
#include "core/types/status.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core {

/** The event context: time and commands of one call of IEntry::Handle. */
struct EntryEventContext
{
  Instant m_now;
  EntryCommands& m_commands;

  void Send(const ProcessId& aTo, Message aMessage)
  {
    m_commands.emplace_back(SendMessage{ aTo, std::move(aMessage) });
  }

  void Record(EventCode aCode,
              std::uint64_t aSubject,
              EventDetail aDetail,
              std::string aId = {})
  {
    m_commands.emplace_back(
      RecordEvent{ aCode, aSubject, std::move(aDetail), std::move(aId) });
  }

  /** Records an event of a submission. */
  void Record(EventCode aCode,
              const Submission& aSubmission,
              EventDetail aDetail)
  {
    Record(aCode,
           aSubmission.m_id.m_value,
           std::move(aDetail),
           NameForLog(aSubmission));
  }

  /** Records an event of one request or task of a submission. */
  void Record(EventCode aCode,
              const Submission& aSubmission,
              const WorkItem& aItem,
              EventDetail aDetail)
  {
    Record(aCode,
           aSubmission.m_id.m_value,
           std::move(aDetail),
           aItem.m_name.empty() ? NameForLog(aSubmission) : aItem.m_name);
  }
};

/** Items that wait for the same agents, with the teams' shares of them. */
struct WaitPool
{
  WaitQueue m_queue;
  /** Requests that the endpoints of all agents can run at once, or cores of the
   * workers of all agents. */
  double m_parallelism = 0;
  /** The agents whose workers run the tasks; not set for requests. */
  std::vector<AgentRecord*> m_agents;
  FairShareTracker m_fairShares;
  /** When the entry last subscribed to the agents' free capacity. */
  Instant m_subscribedAt = Instant(std::chrono::hours(-1));
};

/** State of one service at this entry. */
struct ServiceState
{
  WaitPool m_requestPool;
  RunTimeModel m_runTimes;
  ArrivalMeter m_arrivals;
  /** Moving average of the expected run time of arriving requests. */
  Duration m_meanExpectedRun{};
  /** Moving average of actual run times, to estimate waits at agents. */
  Duration m_meanRun{};
  /** Requests and tasks of open submissions. */
  std::uint32_t m_open = 0;
  /** The agents whose endpoint serves the service. */
  std::vector<AgentRecord*> m_agents;
};

/** State of one queue at this entry. */
struct QueueState
{
  RunTimeModel m_runTimes;
  /** Moving average of the expected core time of its jobs. */
  Duration m_meanCoreTime{};
  /** When a job last arrived. */
  Instant m_lastArrivalAt = Instant(std::chrono::hours(-1));
};

/** State of one team at this entry, over all services. */
struct TeamState
{
  /** Requests and tasks of open submissions. */
  std::uint32_t m_open = 0;
  Instant m_lastSeen;
};

/** A claim of a caller key that waits for replies from agents. */
struct Claim
{
  WorkRef m_work;
  CallerKey m_key;
  /** Agents that have not replied yet. */
  std::set<ProcessId> m_pendingAgents;
  /** True if an agent holds an earlier submission that may be running. */
  bool m_isKeyHeld = false;
  /** True if an earlier run cannot be ruled out even when all agents have
   * replied. */
  bool m_uncertain = false;
};

/** Load probes of one item that wait for replies. */
struct Probe
{
  WorkRef m_work;
  std::set<ProcessId> m_pendingAgents;
  std::vector<ProcessId> m_candidates;
};

/** A removed agent, kept while claims of caller keys may still depend on it. */
struct DepartedRecord
{
  DepartedAgent m_agent;
  Instant m_departedAt;
};

/** A finished submission, kept so that its status can be read. */
struct FinishedSubmission
{
  SubmissionStatus m_status;
  /** The caller's name for the submission; empty if there is none. */
  std::string m_name;
};

/** The blackboard of one shard of an entry: the state that its controllers
 * share. The controllers keep no state from one event context to the next. */
struct EntryBoard
{
  // Identity and settings
  ProcessId m_self;
  std::uint8_t m_shard = 0;
  EntryPolicy m_policy;
  boost::random::mt19937_64 m_random;

  // Configuration
  Configuration m_config;
  ConfigCopy m_configCopy;
  /** The newest version that a peer has reported. */
  ConfigVersion m_newestConfig;
  /** The newest version that was received from a peer. */
  ConfigVersion m_receivedConfig;
  /** Versions of other entries that were newer than this entry's. */
  std::map<ProcessId, ConfigVersion> m_peerConfigs;
  ConfigTransfer m_configTransfer;
  bool m_isTransferTimerArmed = false;

  /** The newest list of drained zones, and its ZoneDrains::Digest(). */
  ZoneDrains m_drains;
  std::uint64_t m_drainsDigest = 0;
  /** Whether m_drains has named a zone since the start of the entry. */
  bool m_hasSeenDrain = false;

  // Membership
  std::map<ProcessId, AgentRecord> m_agents;
  std::vector<ProcessId> m_peers;
  std::deque<DepartedRecord> m_departed;
  /** Departures of agents before this instant may be unknown to this entry. */
  Instant m_departuresKnownSince;
  bool m_started = false;
  bool m_draining = false;

  /** CallersRead::m_until; absent if the process does not state it. */
  std::optional<Instant> m_callersReadUntil;
  MessageProgress m_messageProgress;

  // Work
  std::uint64_t m_nextId = 1;
  std::unordered_map<SubmissionId, Submission> m_submissions;
  std::unordered_map<SubmissionId, FinishedSubmission> m_finished;
  std::unordered_map<CallerToken, SubmissionId> m_callers;
  std::unordered_map<AttemptId, WorkRef> m_attempts;
  std::map<std::string, ServiceState, std::less<>> m_services;
  /** Workers form one pool for the jobs of all services. */
  WaitPool m_taskPool;
  /** Tasks that may crash workers, and the agents with
   * AgentRecord::m_takesIsolated. */
  WaitPool m_isolatedPool;
  /** Includes all agents of m_agents. */
  TaskSpeeds m_taskSpeeds;
  std::map<std::string, TeamState, std::less<>> m_teams;
  std::map<std::string, QueueState, std::less<>> m_queues;
  /** Open and finished jobs by the caller's name for them. */
  std::unordered_map<std::string, SubmissionId> m_byName;
  bool m_isHeartbeatArmed = false;
  std::map<FenceId, Claim> m_claims;
  std::vector<Probe> m_probes;
  RetryBudget m_retryBudget{ 20 };
  Revocations m_revocations;
  bool m_isRevocationTimerArmed = false;
  ProcessId m_lastRepeatedRevocationTo;

  CrashLedger m_crashes;
  QueueIsolation m_isolation;
  bool m_isIsolationTimerArmed = false;
  bool m_isQuarantineTimerArmed = false;
  ForwardState m_forwarding;

  TimerQueue m_timers;
  EntryCounters m_counters;

  /** @return a new id, unique within this entry. The ids start at a random
   * base, so a collision with other entries or incarnations is unlikely. */
  std::uint64_t NextId();

  /** @return the submission, or null if it is no longer open. */
  Submission* Find(SubmissionId aId);

  /** @return the item, or null if its submission is no longer open. */
  WorkItem* Find(WorkRef aWork);

  ServiceState& Service(const std::string& aName);

  /** @return the run time model that applies to @p aSubmission. */
  RunTimeModel& RunTimesOf(const Submission& aSubmission);

  /** @return the pool in which @p aItem of @p aSubmission waits. */
  WaitPool& PoolOf(const Submission& aSubmission, const WorkItem& aItem);
  WaitQueue& QueueOf(const Submission& aSubmission, const WorkItem& aItem)
  {
    return PoolOf(aSubmission, aItem).m_queue;
  }

  /** @return for how long requests of callers, or the ends of their
   * connections, may have gone unread because the process stood still; zero
   * while it reads as usual. */
  Duration UnreadFor(Instant aNow) const;

  /** @return the time at which a lease that is granted now starts: not later
   * than the callers were read, however recently, since a caller that has left
   * meanwhile may submit its job to another entry. */
  Instant LeaseTime(Instant aNow) const;

  /** @return a hello with the state of this entry. */
  EntryHello MakeHello() const;

  /** @return whether this entry forwards jobs and accepts forwarded ones. */
  bool ForwardsJobs() const;

  /** @return whether this entry and its peers tell each other how much of their
   * processor time they use. */
  bool ExchangesLoad() const;

  /** Schedules the next check of peers with open forwarded jobs. */
  void ArmForwardTimer(Instant aNow);

  /** @return the number of entries that share the agents, at least 1. */
  std::uint32_t EntryCount() const;
};

} // namespace mulberrysail::core
