#include "core/internal/agent/agent.h"

#include "core/internal/agent/admission.h"
#include "core/internal/agent/breakers.h"
#include "core/internal/agent/capacitygrants.h"
#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/outcomes.h"
#include "core/internal/agent/reconciler.h"
#include "core/internal/agent/reporter.h"
#include "core/internal/agent/runs.h"
#include "core/internal/agent/starter.h"
#include "core/internal/agent/zonedraincopy.h"
#include "core/internal/overloaded.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace mulberrysail::core {

namespace agent {

namespace {

constexpr std::uint64_t kRunPrefixMask = 0xFFFFFFFF00000000ULL;

/** @return the upper half of the run ids of one agent incarnation. Run ids of
 * different agents and incarnations must differ, since their runs may be on the
 * same worker. */
std::uint64_t
RunPrefix(const ProcessId& aSelf, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aSelf.m_name.data(),
                              aSelf.m_name.size(),
                              aSelf.m_incarnation.m_value ^ aSeed) &
         kRunPrefixMask;
}

} // namespace

Agent::Agent(ProcessId aSelf, AgentPolicy aPolicy, std::uint64_t aSeed)
{
  m_board.m_attempts.m_runPrefix = RunPrefix(aSelf, aSeed);
  m_board.m_workers.m_lastFencingToken = aSelf.m_incarnation.m_value;
  m_board.m_self = std::move(aSelf);
  m_board.m_policy = std::move(aPolicy);
}

void
Agent::Handle(Instant aNow, AgentEvent aEvent, AgentCommands& aCommands)
{
  if (!m_hasStarted) {
    m_hasStarted = true;
    m_board.m_startedAt = aNow;
    m_board.m_now = aNow;
  }
  m_board.m_now = std::max(m_board.m_now, aNow);
  m_board.m_commands = &aCommands;
  ReportCache(m_board).EvictExpired();
  KeyRegistry(m_board).EvictExpired();
  Membership(m_board).EndAttemptsWithoutLease();
  LeasedRuns(m_board).FenceExpiredLeases();
  std::visit([this](auto& aAny) { On(aAny); }, aEvent);
  ProcessDue();
  m_board.m_commands = nullptr;
}

void
Agent::ProcessDue()
{
  Membership(m_board).ProcessTimeouts();
  Breakers(m_board).EnterProbing();
  Starter starter(m_board);
  starter.RefuseUnservable();
  // Attempts that expire at this instant may still be started, but do not stay
  // queued.
  starter.RefuseExpired(m_board.m_now - Duration(1));
  starter.StartRequests();
  starter.StartTasks();
  starter.RefuseExpired(m_board.m_now);
  LeasedRuns(m_board).ProcessDue();
  RecordQueued();
  Reporter(m_board).Flush();
}

void
Agent::RecordQueued()
{
  AttemptSection& attempts = m_board.m_attempts;
  for (const AttemptKey& key : attempts.m_newlyAccepted) {
    const auto place = attempts.m_open.find(key);
    if (place != attempts.m_open.end() && !place->second.m_running) {
      const Attempt& attempt = place->second;
      RecordAttempt(m_board,
                    EventCode::AttemptQueued,
                    key.m_attempt,
                    attempt.m_offer,
                    EventDetail().Add("open", attempts.m_open.size()));
    }
  }
  attempts.m_newlyAccepted.clear();
}

void
Agent::On(MessageReceived& aEvent)
{
  const EntryIndex entry =
    Membership(m_board).UpdateLastSeen(aEvent.m_from, aEvent.m_sentAt);
  HandleMessage(entry, aEvent.m_message);
}

void
Agent::HandleMessage(EntryIndex aEntry, Message& aMessage)
{
  std::visit(
    Overloaded{
      [&](OfferBatch& aBatch) { HandleOffers(aEntry, aBatch); },
      [&](const RevokeBatch& aBatch) {
        Reconciler(m_board).Revoke(aEntry, aBatch);
      },
      [&](const Reconcile& aReconcile) {
        Reconciler(m_board).ReportAttempts(aEntry, aReconcile);
      },
      [&](const FenceQuery& aQuery) {
        KeyRegistry(m_board).AnswerFenceQuery(aEntry, aQuery);
      },
      [&](const EntryHello& aHello) { HandleHello(aEntry, aHello); },
      [&](const ConfigUpdate& aUpdate) { HandleConfigUpdate(aEntry, aUpdate); },
      [&](const ConfigRequest& aRequest) { SendConfigPart(aEntry, aRequest); },
      [&](const auto&) {
        Record(
          m_board,
          EventCode::MessageRejected,
          0,
          EventDetail().Add("cause", "message type not handled by an agent"));
      } },
    aMessage);
}

void
Agent::HandleOffers(EntryIndex aEntry, OfferBatch& aBatch)
{
  Admission(m_board).ProcessOffers(aEntry, std::move(aBatch));
}

void
Agent::HandleHello(EntryIndex aEntry, const EntryHello& aHello)
{
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  Membership(m_board).RenewLease(entry, aHello.m_leaseGrantedAt);
  // An entry that waits for outcomes needs a reply as proof that the agent is
  // alive.
  entry.m_loadRequested = entry.m_loadRequested || entry.m_openAttempts > 0;
  Instant& subscribedUntil = entry.m_subscribedUntil[aHello.m_shard];
  subscribedUntil =
    std::max(subscribedUntil, m_board.m_now + aHello.m_subscribeFor);
  CapacityGrants(m_board).RecordDemand(entry, aHello.m_shard, aHello.m_demand);
  Breakers(m_board).TolerateFailures(aHello.m_useFailingWorkersFor);
  HandleConfigVersion(aEntry, aHello);
  ZoneDrainCopy(m_board).Update(aEntry, aHello.m_drains);
}

void
Agent::HandleConfigVersion(EntryIndex aEntry, const EntryHello& aHello)
{
  ConfigSection& config = m_board.m_config;
  config.m_newest = std::max(config.m_newest, aHello.m_config);
  const bool isNeeded =
    aHello.m_keepConfig && aHello.m_config > config.m_copy.m_version;
  if (!isNeeded || config.m_transfer.IsInProgress(m_board.m_now)) {
    return;
  }
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  Send(m_board,
       entry,
       config.m_transfer.Start(
         entry.m_id, config.m_copy.m_version, m_board.m_now));
}

void
Agent::HandleConfigUpdate(EntryIndex aEntry, const ConfigUpdate& aUpdate)
{
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  ConfigTransfer& transfer = m_board.m_config.m_transfer;
  if (const std::optional<ConfigRequest> next =
        transfer.Add(entry.m_id, aUpdate, m_board.m_now)) {
    Send(m_board, entry, *next);
  }
  if (std::optional<ConfigCopy> received = transfer.TakeCompleted()) {
    SetConfig(received->m_version, std::move(received->m_document));
  }
}

void
Agent::SetConfig(ConfigVersion aVersion, std::string aDocument)
{
  ConfigSection& config = m_board.m_config;
  if (aVersion <= config.m_copy.m_version) {
    return;
  }
  config.m_copy = MakeConfigCopy(aVersion, std::move(aDocument));
  config.m_newest = std::max(config.m_newest, aVersion);
  Record(m_board,
         EventCode::ConfigInForce,
         aVersion.m_value,
         EventDetail().Add("version", aVersion.m_value));
  ScheduleAnnounceToAll(m_board);
}

void
Agent::SendConfigPart(EntryIndex aEntry, const ConfigRequest& aRequest)
{
  if (std::optional<ConfigUpdate> update =
        MakeConfigUpdate(m_board.m_config.m_copy, aRequest)) {
    Send(m_board, m_board.m_entries.m_records.at(aEntry), std::move(*update));
  }
}

void
Agent::On(SendFailed& aEvent)
{
  Reporter(m_board).RequeueUnsent(aEvent.m_to, std::move(aEvent.m_message));
}

void
Agent::On(LinkReset& aEvent)
{
  const EntryIndex index = Membership(m_board).MarkReachable(aEvent.m_peer);
  EntryRecord& entry = m_board.m_entries.m_records.at(index);
  entry.m_linked = true;
  entry.m_announceDue = true;
  entry.m_lastCrashSent = 0;
}

void
Agent::On(TimerFired& /*aEvent*/)
{
}

void
Agent::On(DrainRequested& /*aEvent*/)
{
  if (m_board.m_draining) {
    return;
  }
  m_board.m_draining = true;
  m_board.m_endpoint.m_recheckQueuedRequests = true;
  m_board.m_workers.m_recheckQueuedTasks = true;
  Record(m_board,
         EventCode::ProcessDraining,
         0,
         EventDetail().Add("open", m_board.m_attempts.m_open.size()));
  ScheduleAnnounceToAll(m_board);
}

void
Agent::On(ConfigChanged& aEvent)
{
  SetConfig(aEvent.m_configuration.m_version, std::move(aEvent.m_document));
}

void
Agent::On(EndpointAnnounced& aEvent)
{
  Membership(m_board).SetEndpoint(std::move(aEvent));
}

void
Agent::On(WorkerAnnounced& aEvent)
{
  Membership(m_board).SetWorker(std::move(aEvent));
}

void
Agent::On(WorkerLeft& aEvent)
{
  Membership(m_board).SetWorkerLeaving(aEvent);
}

void
Agent::On(RunFinished& aEvent)
{
  Runs(m_board).Finish(std::move(aEvent));
}

void
Agent::On(StartAnswered& aEvent)
{
  LeasedRuns(m_board).Handle(aEvent);
}

void
Agent::On(StopAnswered& aEvent)
{
  LeasedRuns(m_board).Handle(aEvent);
}

void
Agent::On(RunsObserved& aEvent)
{
  LeasedRuns(m_board).Handle(aEvent);
}

void
Agent::On(PeersChanged& aEvent)
{
  Membership(m_board).SetEntries(aEvent.m_entries);
}

Instant
Agent::NextWake() const
{
  Instant wake =
    std::min(NextSendDue(m_board), Membership::NextLeaseEnd(m_board));
  wake = std::min(wake, LeasedRuns::NextDue(m_board));
  if (!m_board.m_expiry.empty()) {
    wake = std::min(wake, m_board.m_expiry.begin()->first.first);
  }
  if (m_board.m_endpoint.m_info) {
    wake = std::min(wake, m_board.m_endpoint.m_leaseEnds);
  }
  for (const auto& [name, worker] : m_board.m_workers.m_workers) {
    if (worker.m_leaseEnds > m_board.m_now) {
      wake = std::min(wake, worker.m_leaseEnds);
    }
    if (worker.m_info.m_warmingUp) {
      wake = std::min(wake, worker.m_warmUpEnds);
    }
    wake = std::min(wake, Breakers::NextDue(m_board, worker));
  }
  return wake;
}

bool
Agent::Idle() const
{
  if (!m_board.m_attempts.m_open.empty()) {
    return false;
  }
  return std::all_of(
    m_board.m_entries.m_records.begin(),
    m_board.m_entries.m_records.end(),
    [this](const std::pair<const EntryIndex, EntryRecord>& aEntry) {
      const EntryRecord& entry = aEntry.second;
      const bool disconnected =
        m_board.m_now - entry.m_lastSeen >= m_board.m_policy.m_lease;
      return entry.m_reports.empty() || disconnected;
    });
}

AgentStatus
Agent::Status() const
{
  AgentStatus status;
  status.m_agent = m_board.m_self;
  status.m_zone = m_board.m_policy.m_zone;
  status.m_httpAddress = m_board.m_policy.m_httpAddress;
  status.m_leaving = m_board.m_draining;
  status.m_endpoint = m_board.m_endpoint.m_info;
  status.m_workers = LiveWorkers(m_board);
  status.m_load = CurrentLoad(m_board);
  status.m_openAttempts =
    static_cast<std::uint32_t>(m_board.m_attempts.m_open.size());
  return status;
}

AgentCounters
Agent::Counters() const
{
  AgentCounters counters = m_board.m_counters;
  counters.m_running = m_board.m_attempts.m_byRun.size();
  counters.m_queued = m_board.m_attempts.m_open.size() - counters.m_running;
  return counters;
}

} // namespace agent

std::unique_ptr<IAgent>
MakeAgent(ProcessId aSelf, AgentPolicy aPolicy, std::uint64_t aSeed)
{
  return std::make_unique<agent::Agent>(
    std::move(aSelf), std::move(aPolicy), aSeed);
}

} // namespace mulberrysail::core
