#pragma once

#include "core/types/answer.h"
#include "core/types/crash.h"
#include "core/types/errorkind.h"
#include "core/types/ids.h"
#include "core/types/jobspec.h"
#include "core/types/resources.h"
#include "core/types/time.h"
#include "core/types/zonedrains.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/** The messages between entries and agents, and between entries. */
namespace mulberrysail::core {

/** A request runs in a slot of an endpoint, a task on a worker. */
enum class WorkKind : std::uint8_t
{
  Request,
  Task,
};

/** The caller's key for one piece of work, and the number of the submission. */
struct CallerKey
{
  std::string m_key;
  /** The caller's number for this submission of the key: 1 for the first one;
   * 0 if the caller does not number its submissions. */
  std::uint32_t m_submission = 0;
  /** Orders the claims (offers or queries) that several entries make for the
   * same submission number; the higher number takes precedence. 0 for a first
   * submission, which is placed without a FenceQuery. */
  std::uint64_t m_claim = 0;

  bool operator==(const CallerKey&) const = default;

  /** @return whether @p aOther takes precedence over this claim: it has a
   * higher submission number, or the same one and a higher m_claim. */
  bool YieldsTo(const CallerKey& aOther) const
  {
    return m_submission != aOther.m_submission
             ? m_submission < aOther.m_submission
             : m_claim < aOther.m_claim;
  }
};

/** One attempt to place a request or a task. */
struct Offer
{
  AttemptId m_attempt;
  WorkKind m_kind = WorkKind::Request;
  std::string m_service;
  std::string m_team;
  /** On the agent's clock; the agent refuses an offer that arrives later. */
  Instant m_startBy;
  /** On the agent's clock; the time by which the caller needs the result. */
  Instant m_deadline;
  /** The run time that the entry expects, from the caller's declaration and
   * from learned run times. */
  Duration m_expectedRun{};
  /** Tasks only. */
  Resources m_need;
  /** The submission id of the job to which the task belongs; zero for a
   * request. */
  SubmissionId m_job;
  std::optional<CallerKey> m_key;
  std::string m_payload;
  /** The caller's name for the task; empty if it gave none. */
  std::string m_name;
  /** Number of this start of the task, from 1. */
  std::uint32_t m_startNumber = 1;
  /** Label that the worker must have; empty for any worker. */
  std::string m_requiredLabel;
  /** On the agent's clock. The agent starts waiting tasks of jobs from queues
   * in ascending order of this time. */
  Instant m_dispatchTime;
  /** The queue of the task's job; empty if there is none. */
  std::string m_queue = {};
};

/** Core time of waiting tasks of one priority. */
struct PriorityWork
{
  /** QueueConfig::m_priority; 0 is the most urgent. */
  std::uint32_t m_priority = 0;
  /** Expected run time multiplied by cores, summed over the tasks. */
  Duration m_coreTime{};

  bool operator==(const PriorityWork&) const = default;
};

/** The tasks that wait at one entry for free capacity. */
struct Demand
{
  /** Cores that all waiting tasks need together, in thousandths. */
  std::uint64_t m_milliCores = 0;
  /** On the receiving agent's clock: the earliest Offer::m_dispatchTime of the
   * waiting tasks. */
  Instant m_earliestDispatch;
  /** In ascending order of priority. */
  std::vector<PriorityWork> m_work;

  bool operator==(const Demand&) const = default;
};

/** Offers to one agent incarnation; any other incarnation refuses them. */
struct OfferBatch
{
  Incarnation m_agentIncarnation;
  /** Number of the last offer in the batch. The entry numbers its offers to
   * this incarnation consecutively, including offers that are lost. */
  std::uint64_t m_sequence = 0;
  std::vector<Offer> m_offers;
  /** How long from receipt of this message the agent notifies the sending shard
   * of free capacity, in place of what an earlier message said; zero if no work
   * is left that waits. */
  Duration m_subscribeFor{};
  /** What waits at the sender after these offers; absent if the sender is of a
   * version that does not state it. */
  std::optional<Demand> m_demand = std::nullopt;
  /** Whether the encoded message may omit a payload that equals the one of the
   * offer before; see Announce::m_readsOmittedPayloads. Not part of the
   * message. */
  bool m_omitRepeatedPayloads = false;
  /** On the agent's clock, and never later than it really was: when the entry
   * granted the lease under which the offered attempts may start. Absent if the
   * sender is of a version that does not state it. */
  std::optional<Instant> m_leaseGrantedAt = std::nullopt;
};

/** Revokes queued attempts and, if m_stopRunning is set, stops running ones. */
struct RevokeBatch
{
  std::vector<AttemptId> m_attempts;
  bool m_stopRunning = false;
};

/** Asks for the state of attempts. The agent answers with a ReportBatch, which
 * contains its load even if m_attempts is empty. The agent permanently refuses
 * attempts that it does not know. */
struct Reconcile
{
  std::vector<AttemptId> m_attempts;
};

/** Asks whether the agent has started another submission of a key. If it has
 * not, the agent refuses from then on all offers whose claim yields to the
 * claim of this query. If the claim of the query yields to one that the agent
 * received before, the agent answers Refused with the kind Superseded. */
struct FenceQuery
{
  FenceId m_fence;
  std::string m_service;
  CallerKey m_key;
  /** How long the agent must keep the fence. */
  Duration m_retainFor{};
};

/** Sent by an entry when it opens a link, and as a heartbeat. */
struct EntryHello
{
  ConfigVersion m_config;
  bool m_draining = false;
  /** How long from receipt of this message the agent notifies the shard m_shard
   * of free capacity; zero to leave its subscription as it is. */
  Duration m_subscribeFor{};
  /** Whether the agent keeps a copy of the configuration m_config for entries
   * that cannot read it from the store. */
  bool m_keepConfig = false;
  /** The shard of the entry that subscribes. */
  std::uint8_t m_shard = 0;
  ZoneDrains m_drains = {};
  /** What waits at the sender; absent if the message does not state it. */
  std::optional<Demand> m_demand = std::nullopt;
  /** As OfferBatch::m_leaseGrantedAt; renews the lease of all attempts of the
   * sender at the agent. Absent if the message renews none. */
  std::optional<Instant> m_leaseGrantedAt = std::nullopt;
  /** How long from receipt of this message the agent uses its workers although
   * runs on them fail, as runs on most workers do; zero if the message does not
   * ask for it. */
  Duration m_useFailingWorkersFor{};
};

/** One part of the document of an accepted configuration. */
struct ConfigUpdate
{
  ConfigVersion m_version;
  std::string m_part;
  /** Position of the part in the document, and the size of the document, in
   * bytes. */
  std::uint64_t m_offset = 0;
  std::uint64_t m_size = 0;
  /** Hash of the whole document. */
  std::uint64_t m_digest = 0;
};

/** Requests the next part of a configuration from a peer that has a newer one.
 */
struct ConfigRequest
{
  /** The version of the sender's configuration. */
  ConfigVersion m_knownVersion;
  /** The document of which the sender has m_offset bytes; the receiver starts
   * again from zero if it has another one. */
  ConfigVersion m_version = {};
  std::uint64_t m_digest = 0;
  std::uint64_t m_offset = 0;
};

/** Load of an agent's endpoint and workers. It is sent often, so it is kept
 * small. */
struct LoadReport
{
  /** Increases with every report of one agent incarnation. */
  std::uint64_t m_sequence = 0;
  /** The time of the report on the agent's clock. */
  Instant m_reportedAt;
  /** The highest OfferBatch::m_sequence received from the receiving entry. */
  std::uint64_t m_lastOfferSequence = 0;
  /** The configuration of which the agent keeps a copy; zero for none. */
  ConfigVersion m_config;
  std::uint32_t m_freeSlots = 0;
  std::uint32_t m_queuedRequests = 0;
  /** Total expected run time of all queued requests. */
  Duration m_queuedRequestWork{};
  /** Total free capacity of the agent's workers. */
  Resources m_freeCapacity;
  std::uint32_t m_queuedTasks = 0;
  /** Total core time of all queued tasks: expected run time times cores. */
  Duration m_queuedTaskWork{};
  /** The newest configuration known to the agent. */
  ConfigVersion m_newestConfig = {};
  /** ZoneDrains::Digest() of the agent's copy. */
  std::uint64_t m_drainsDigest = 0;
  /** Core time that waits at other entries than the receiver, as far as the
   * agent knows, in ascending order of priority. */
  std::vector<PriorityWork> m_demandOfOthers = {};
};

/** An endpoint's state as known to its agent. */
struct EndpointInfo
{
  std::string m_service;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  bool m_leaving = false;

  bool operator==(const EndpointInfo&) const = default;
};

/** A worker's state as known to its agent. */
struct WorkerInfo
{
  std::string m_name;
  std::string m_rack;
  Resources m_capacity;
  /** Whether the worker gets no work for now because of repeated failures. */
  bool m_quarantined = false;
  /** The only service whose tasks the worker runs; empty for any service. */
  std::string m_service = {};
  std::vector<std::string> m_labels = {};
  /** Whether the worker still runs tasks slowly after its start. */
  bool m_warmingUp = false;
  /** Whether the worker would get no work because its runs failed, if most
   * other workers were not failing as well. */
  bool m_failing = false;

  bool HasLabel(std::string_view aLabel) const
  {
    return std::find(m_labels.begin(), m_labels.end(), aLabel) !=
           m_labels.end();
  }

  bool operator==(const WorkerInfo&) const = default;
};

/** @return whether @p aWorker, if idle, could run a task of @p aService that
 * needs @p aNeed and, unless empty, @p aRequiredLabel. */
inline bool
CanRun(const WorkerInfo& aWorker,
       std::string_view aService,
       std::string_view aRequiredLabel,
       const Resources& aNeed)
{
  const bool serves =
    aWorker.m_service.empty() || aWorker.m_service == aService;
  const bool labelled =
    aRequiredLabel.empty() || aWorker.HasLabel(aRequiredLabel);
  return serves && labelled && aWorker.m_capacity.Fits(aNeed);
}

/** Sent by an agent when a link is opened, after a change, and as a
 * heartbeat. */
struct Announce
{
  std::string m_zone;
  /** The agent's HTTP address for workers and operators. */
  std::string m_httpAddress;
  bool m_leaving = false;
  /** The entry removes the agent this long after the agent's last message. */
  Duration m_leaseFor{};
  std::optional<EndpointInfo> m_endpoint;
  std::vector<WorkerInfo> m_workers;
  LoadReport m_load;
  /** Whether the agent reads batches that omit repeated payloads; agents of
   * earlier versions do not. */
  bool m_readsOmittedPayloads = false;
  ZoneDrains m_drains = {};
  /** Crashes of the agent's workers that were not announced to the receiver
   * yet, the oldest first. */
  std::vector<WorkerCrash> m_crashes = {};
};

/** The state or outcome of one attempt. */
enum class AttemptFate : std::uint8_t
{
  /** Not started, and never will be. */
  Refused,
  /** Removed from the queue on request; will never start. */
  Revoked,
  /** Started; the outcome follows. */
  Running,
  /** Waiting in the agent's queue. */
  Queued,
  /** Ran and completed; the message carries its output. */
  Completed,
  /** Ran and reported a failure, also after a request to stop it. */
  Failed,
  /** May have run; the endpoint or worker was lost. */
  Lost,
  /** Started and was stopped before it was done; no longer running. */
  Interrupted,
};

/** @return the name of @p aFate for logs. */
std::string_view
FateName(AttemptFate aFate);

struct AttemptReport
{
  AttemptId m_attempt;
  AttemptFate m_fate = AttemptFate::Refused;
  ErrorKind m_kind = ErrorKind::None;
  /** Time from start to end, measured by the agent. */
  Duration m_ranFor{};
  /** Time from receipt of the offer to the start. */
  Duration m_waitedFor{};
  std::string m_output;
  /** Whether the worker was warming up when the attempt started. */
  bool m_warmingUp = false;
};

/** Attempt reports, with the agent's load. */
struct ReportBatch
{
  std::vector<AttemptReport> m_reports;
  LoadReport m_load;
};

/** An agent's answer to a FenceQuery. */
struct FenceReply
{
  FenceId m_fence;
  /** Refused without Superseded: no submission of the key has started, and
   * offers whose claim yields to that of the query are refused from now on.
   * Refused with Superseded: the claim of the query yields to one that another
   * entry made. Running, Queued: the outcome follows in another FenceReply. */
  AttemptFate m_fate = AttemptFate::Refused;
  ErrorKind m_kind = ErrorKind::None;
  std::string m_output;
  /** The period, ending now, for which the agent's records of keys are
   * complete; shorter than the retention time if records were evicted for lack
   * of memory. */
  Duration m_recordsCover{};
};

/** An entry's record of an agent that left or failed. Agents that are present
 * at the sender are included with m_age zero, because the receiver cannot tell
 * whether they have departed. */
struct DepartedAgent
{
  ProcessId m_agent;
  std::string m_service;
  /** Time since the departure; zero if the agent is present at the sender. */
  Duration m_age{};
  /** How long the agent had been a member. */
  Duration m_wasMemberFor{};
};

/** Sent between entries: the knowledge that a newly started entry lacks. */
struct PeerHello
{
  ConfigVersion m_config;
  bool m_draining = false;
  /** The period, ending now, for which the sender's records of departures are
   * complete. */
  Duration m_recordsCover{};
  std::vector<DepartedAgent> m_departed;
  ZoneDrains m_drains = {};
};

/** Sent between entries: whether the sender has processor time for forwarded
 * jobs. Also the heartbeat between two entries with open forwarded jobs. */
struct PeerLoad
{
  /** Processor that the sender may use, in thousandths of a core; 0 if it is
   * not limited or not known. */
  std::uint32_t m_allowedMilliCores = 0;
  /** Share of the allowed processor time that the sender uses, in percent. */
  std::uint32_t m_usedPercent = 0;
  bool m_draining = false;
  /** Whether the sender admits forwarded jobs. */
  bool m_acceptsForwardedJobs = false;
};

/** Passes a job that the sender received from its caller to another entry,
 * which admits and answers it in place of the sender. */
struct ForwardJob
{
  ForwardId m_forward;
  std::string m_queue;
  std::string m_team;
  std::string m_name;
  /** Time left to the caller's deadline. */
  Duration m_deadlineIn{};
  std::vector<TaskSpec> m_tasks;
  std::vector<StepSpec> m_steps;
};

/** The answer to a forwarded job. */
struct ForwardResult
{
  ForwardId m_forward;
  /** Its m_submission is that of the sender. */
  Answer m_answer;
};

/** Cancels forwarded jobs whose callers have gone. */
struct ForwardCancel
{
  std::vector<ForwardId> m_forwards;
};

using Message = std::variant<OfferBatch,
                             RevokeBatch,
                             Reconcile,
                             FenceQuery,
                             EntryHello,
                             ConfigUpdate,
                             ConfigRequest,
                             Announce,
                             ReportBatch,
                             FenceReply,
                             PeerHello,
                             PeerLoad,
                             ForwardJob,
                             ForwardResult,
                             ForwardCancel>;

/** @return the name of the type of @p aMessage for metrics. */
std::string_view
MessageTypeName(const Message& aMessage);

} // namespace mulberrysail::core
