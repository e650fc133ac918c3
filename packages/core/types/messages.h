#pragma once

#include "core/types/errorkind.h"
#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/** The messages between entries and agents. */
namespace mulberrysail::core {

/** Whether the work runs in a slot of the endpoint or on a worker. */
enum class WorkKind : std::uint8_t
{
  Request,
  Task,
};

/** The caller's name for one piece of work, and which submission of it. */
struct CallerKey
{
  std::string m_key;
  /** 1 for the first submission; 0 if the caller doesn't number them. */
  std::uint32_t m_submission = 0;
  /** Orders claims of the same submission number by several entries; 0 for a
   * first submission, which is placed without asking. */
  std::uint64_t m_claim = 0;

  bool operator==(const CallerKey&) const = default;

  /** @return whether this claim of the key yields to @p aOther. */
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
  /** In the agent's clock; refused if it comes later. */
  Instant m_startBy;
  /** In the agent's clock; the caller wants nothing after it. */
  Instant m_deadline;
  /** What the entry expects, from declarations and what it learned. */
  Duration m_expectedRun{};
  /** Tasks only. */
  Resources m_need;
  /** Groups the tasks of one job; zero for a request. */
  SubmissionId m_job;
  std::optional<CallerKey> m_key;
  std::string m_payload;
  /** The caller's name for the task; empty if it gave none. */
  std::string m_name;
  /** Number of this start of the task, from 1. */
  std::uint32_t m_startNumber = 1;
  /** Label that the worker must have; empty for any worker. */
  std::string m_requiredLabel;
  /** In the agent's clock: of queues' tasks that wait, the one with the
   * earliest turn goes first. */
  Instant m_dispatchOrder;
};

/** Offers to one agent; the agent refuses those for another incarnation. */
struct OfferBatch
{
  Incarnation m_agentIncarnation;
  /** Number of the last offer in it; the entry counts those that it sent to
   * this incarnation, lost ones included. */
  std::uint64_t m_sequence = 0;
  std::vector<Offer> m_offers;
};

/** Takes back what is queued and, if asked, stops what runs. */
struct RevokeBatch
{
  std::vector<AttemptId> m_attempts;
  bool m_stopRunning = false;
};

/** Asks what became of attempts; the agent refuses those that it doesn't
 * know, for good. Its answer carries its load also if the list is empty. */
struct Reconcile
{
  std::vector<AttemptId> m_attempts;
};

/** Asks whether another submission of a key is held here. An agent that has
 * not seen one that started refuses, from then on, offers whose claim yields
 * to this one. A query that itself yields to a claim made before is answered
 * with Refused and the kind Superseded. */
struct FenceQuery
{
  FenceId m_fence;
  std::string m_service;
  CallerKey m_key;
  /** How long the agent must remember the fence. */
  Duration m_retainFor{};
};

/** Sent by an entry when a link is opened and as a heartbeat. */
struct EntryHello
{
  ConfigVersion m_config;
  bool m_draining = false;
  /** Load reports are wanted for this long; zero if not. */
  Duration m_subscribeFor{};
};

/** A whole accepted configuration. */
struct ConfigUpdate
{
  ConfigVersion m_version;
  std::string m_document;
};

/** Asks the peer for its configuration, as it has announced a newer one. */
struct ConfigRequest
{
  ConfigVersion m_known;
};

/** State of an agent's endpoint and workers, as cheap to send as it is often
 * sent. */
struct LoadReport
{
  /** Rises with every report of one agent incarnation. */
  std::uint64_t m_sequence = 0;
  /** The agent's clock when the report was made. */
  Instant m_agentNow;
  /** The highest OfferBatch::m_sequence received from the addressed entry. */
  std::uint64_t m_offersSeen = 0;
  /** The configuration in force at the agent. */
  ConfigVersion m_config;
  std::uint32_t m_freeSlots = 0;
  std::uint32_t m_queuedRequests = 0;
  /** Expected run time of all queued requests. */
  Duration m_queuedRequestWork{};
  /** Room on the workers that it looks after, summed. */
  Resources m_freeCapacity;
  std::uint32_t m_queuedTasks = 0;
  /** Expected run time times cores of all queued tasks, in core time. */
  Duration m_queuedTaskWork{};
};

/** An endpoint as its agent sees it. */
struct EndpointInfo
{
  std::string m_service;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  bool m_leaving = false;

  bool operator==(const EndpointInfo&) const = default;
};

/** A worker as its agent sees it. */
struct WorkerInfo
{
  std::string m_name;
  std::string m_rack;
  Resources m_capacity;
  /** True while failures keep it from getting work. */
  bool m_quarantined = false;
  /** It runs tasks of this service only; empty for any. */
  std::string m_service = {};
  std::vector<std::string> m_labels = {};

  bool HasLabel(std::string_view aLabel) const
  {
    return std::find(m_labels.begin(), m_labels.end(), aLabel) !=
           m_labels.end();
  }

  bool operator==(const WorkerInfo&) const = default;
};

/** @return whether a task of @p aService could ever run on @p aWorker. */
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

/** Sent by an agent when a link is opened, on a change, as a heartbeat. */
struct Announce
{
  std::string m_zone;
  /** Where workers and operators reach it over HTTP. */
  std::string m_httpAddress;
  bool m_leaving = false;
  /** The entry forgets the agent this long after its last message. */
  Duration m_leaseFor{};
  std::optional<EndpointInfo> m_endpoint;
  std::vector<WorkerInfo> m_workers;
  LoadReport m_load;
};

/** What became of one attempt. */
enum class AttemptFate : std::uint8_t
{
  /** Never started and never will be. */
  Refused,
  /** Taken out of the queue on request; never started. */
  Revoked,
  /** Started; the outcome follows. */
  Running,
  /** Waiting at the agent. */
  Queued,
  /** Ran, and this is its output. */
  Completed,
  /** Ran and failed, or was stopped. */
  Failed,
  /** May have run; the endpoint or worker was lost. */
  Lost,
  /** Started and was ended before it was done; it doesn't run any more. */
  Interrupted,
};

/** @return the name of @p aFate in logs. */
std::string_view
FateName(AttemptFate aFate);

struct AttemptReport
{
  AttemptId m_attempt;
  AttemptFate m_fate = AttemptFate::Refused;
  ErrorKind m_kind = ErrorKind::None;
  /** From start to finish, as the agent saw it. */
  Duration m_ranFor{};
  /** From receipt to start. */
  Duration m_waitedFor{};
  std::string m_output;
};

/** Outcomes, with the agent's load on top. */
struct ReportBatch
{
  std::vector<AttemptReport> m_reports;
  LoadReport m_load;
};

/** Answer to a FenceQuery. */
struct FenceReply
{
  FenceId m_fence;
  /** Refused: not seen, and fenced from now on (or, with the kind Superseded,
   * claimed by another). Running, Queued: its outcome follows in another
   * FenceReply. */
  AttemptFate m_fate = AttemptFate::Refused;
  ErrorKind m_kind = ErrorKind::None;
  std::string m_output;
  /** How far back the agent's memory of keys reaches. */
  Duration m_retention{};
};

/** An agent that left or died, or, for all that the addressed entry knows, may
 * have; as entries remember it. */
struct DepartedAgent
{
  ProcessId m_agent;
  std::string m_service;
  /** How long ago; zero if it is present at the sender. */
  Duration m_age{};
  /** How long it had been a member. */
  Duration m_wasMemberFor{};
};

/** Between entries: what a newcomer can't know by itself. */
struct PeerHello
{
  ConfigVersion m_config;
  bool m_draining = false;
  /** How far back this entry's memory of departures reaches. */
  Duration m_retention{};
  std::vector<DepartedAgent> m_departed;
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
                             PeerHello>;

} // namespace mulberrysail::core
