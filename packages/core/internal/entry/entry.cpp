#include "core/internal/entry/entry.h"

#include "core/internal/entry/quarantinelimit.h"
#include "core/internal/entry/revocationcontroller.h"
#include "core/internal/overloaded.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Ids start after a random multiple of two to this power, so that they differ
 * from the ids of other entries and incarnations. */
constexpr unsigned kIdBaseShift = 24;

/** @return whether the message is one that entries send to entries only. */
bool
IsFromEntry(const Message& aMessage)
{
  return std::holds_alternative<PeerHello>(aMessage) ||
         std::holds_alternative<PeerLoad>(aMessage) ||
         std::holds_alternative<ForwardJob>(aMessage) ||
         std::holds_alternative<ForwardResult>(aMessage) ||
         std::holds_alternative<ForwardCancel>(aMessage);
}

} // namespace

Entry::Entry(ProcessId aSelf,
             std::uint8_t aShard,
             EntryPolicy aPolicy,
             std::uint64_t aSeed)
  : m_answers(m_board)
  , m_dispatch(m_board, m_answers)
  , m_claims(m_board, m_answers, m_dispatch)
  , m_admission(m_board, m_answers, m_dispatch, m_claims)
  , m_outcomes(m_board, m_answers, m_dispatch)
  , m_configs(m_board)
  , m_drains(m_board)
  , m_crashes(m_board)
  , m_membership(m_board,
                 m_dispatch,
                 m_outcomes,
                 m_claims,
                 m_configs,
                 m_drains,
                 m_crashes)
  , m_forwards(m_board, m_answers, m_admission)
  , m_forwardReceiver(m_board, m_answers, m_admission)
  , m_peerLoads(m_board, m_forwards, m_forwardReceiver)
{
  m_board.m_self = std::move(aSelf);
  m_board.m_shard = aShard;
  m_board.m_policy = std::move(aPolicy);
  m_board.m_random.seed(aSeed);
  m_board.m_nextId = ((m_board.m_random() & 0xFFFFFFFFULL) << kIdBaseShift) + 1;
  m_board.m_retryBudget = RetryBudget(m_board.m_policy.m_retryBudgetPercent);
}

void
Entry::Handle(Instant aNow, EntryEvent aEvent, EntryCommands& aCommands)
{
  EntryEventContext context{ aNow, aCommands };
  const std::size_t firstCommand = aCommands.size();
  if (!m_board.m_started) {
    m_board.m_started = true;
    m_board.m_departuresKnownSince = aNow;
  }
  std::visit([&](auto& aAny) { On(context, std::move(aAny)); }, aEvent);
  m_dispatch.FlushOffers(context);
  m_forwardReceiver.SendResults(context, firstCommand);
  m_board.m_timers.DropObsolete(
    [this](const Timer& aTimer) { return IsObsolete(aTimer); });
}

bool
Entry::IsObsolete(const Timer& aTimer)
{
  return std::visit(
    Overloaded{ [&](const DeadlineTimer& aDeadline) {
                 return m_board.Find(aDeadline.m_submission) == nullptr;
               },
                [&](const StartByTimer& aStartBy) {
                  const WorkItem* const item = m_board.Find(aStartBy.m_work);
                  return item == nullptr || item->m_state != WorkState::Waiting;
                },
                [&](const OverdueTimer& aOverdue) {
                  return !m_board.m_attempts.contains(aOverdue.m_attempt);
                },
                [](const auto&) { return false; } },
    aTimer);
}

void
Entry::On(EntryEventContext& aContext, MessageReceived aEvent)
{
  const ProcessId& from = aEvent.m_from;
  m_membership.OnMessageReceived(aContext, from);
  Duration transit{};
  if (IsFromEntry(aEvent.m_message)) {
    if (!std::holds_alternative<PeerHello>(aEvent.m_message) &&
        m_peerLoads.IsSuperseded(from)) {
      ++m_board.m_counters.m_repliesDropped;
      return;
    }
    transit = m_peerLoads.OnMessageReceived(aContext, from, aEvent.m_sentAt);
  }
  std::visit(
    Overloaded{
      [&](Announce& aAnnounce) {
        m_membership.OnAnnounce(aContext, from, std::move(aAnnounce));
      },
      [&](ReportBatch& aBatch) {
        m_membership.OnLoadReport(aContext, from, aBatch.m_load);
        m_outcomes.OnReports(aContext, from, std::move(aBatch));
      },
      [&](FenceReply& aReply) {
        m_claims.OnReply(aContext, from, std::move(aReply));
      },
      [&](const PeerHello& aHello) {
        m_membership.OnPeerHello(aContext, from, aHello);
      },
      [&](const ConfigRequest& aRequest) {
        m_configs.OnRequest(aContext, from, aRequest);
      },
      [&](const ConfigUpdate& aUpdate) {
        m_configs.OnUpdate(aContext, from, aUpdate);
      },
      [&](const PeerLoad& aLoad) { m_peerLoads.OnLoad(aContext, from, aLoad); },
      [&](ForwardJob& aJob) {
        m_forwardReceiver.OnJob(aContext, from, std::move(aJob), transit);
      },
      [&](ForwardResult& aResult) {
        m_forwards.OnResult(aContext, from, std::move(aResult));
      },
      [&](const ForwardCancel& aCancel) {
        m_forwardReceiver.OnCancel(aContext, from, aCancel);
      },
      // An entry does not handle the remaining messages.
      [](const OfferBatch&) {},
      [](const RevokeBatch&) {},
      [](const Reconcile&) {},
      [](const FenceQuery&) {},
      [](const EntryHello&) {} },
    aEvent.m_message);
}

void
Entry::On(EntryEventContext& aContext, SendFailed aEvent)
{
  m_membership.OnUnreachable(aContext, aEvent.m_to);
  if (const OfferBatch* batch = std::get_if<OfferBatch>(&aEvent.m_message)) {
    m_outcomes.OnOffersNotSent(aContext, *batch);
  }
  if (const ForwardJob* job = std::get_if<ForwardJob>(&aEvent.m_message)) {
    m_forwards.OnNotSent(aContext, aEvent.m_to, *job);
  }
  if (std::holds_alternative<FenceQuery>(aEvent.m_message)) {
    m_claims.FailClaimsPendingOn(aContext, aEvent.m_to);
  }
  m_dispatch.DispatchAll(aContext);
}

void
Entry::On(EntryEventContext& aContext, const LinkReset& aEvent)
{
  m_membership.OnLinkReset(aContext, aEvent.m_peer);
  m_peerLoads.OnLinkReset(aContext, aEvent.m_peer);
}

void
Entry::On(EntryEventContext& aContext, const TimerFired& /*aEvent*/)
{
  while (m_board.m_timers.Next() <= aContext.m_now) {
    HandleTimer(aContext, m_board.m_timers.Pop());
  }
}

void
Entry::HandleTimer(EntryEventContext& aContext, const Timer& aTimer)
{
  std::visit(
    Overloaded{
      [&](const DeadlineTimer& aDeadline) {
        m_answers.OnDeadline(aContext, aDeadline.m_submission);
      },
      [&](const StartByTimer& aStartBy) {
        m_dispatch.OnStartBy(aContext, aStartBy.m_work);
      },
      [&](const OverdueTimer& aOverdue) {
        m_outcomes.OnOverdue(aContext, aOverdue.m_attempt);
      },
      [&](const AgentLeaseTimer& aLease) {
        m_membership.OnLeaseTimer(aContext, aLease.m_agent);
      },
      [&](const ClaimTimer& aClaim) {
        m_claims.OnReplyTimeout(aContext, aClaim.m_fence);
      },
      [&](const ProbeTimer& aProbe) {
        m_dispatch.OnProbeTimer(aContext, aProbe.m_work);
      },
      [&](const RetentionTimer& aRetention) {
        m_answers.OnRetentionExpired(aRetention.m_submission);
      },
      [&](const DispatchTimer&) { m_dispatch.DispatchAll(aContext); },
      [&](const HeartbeatTimer&) { m_membership.OnHeartbeat(aContext); },
      [&](const RevocationTimer&) {
        if (RevocationController(m_board).OnTimer(aContext)) {
          m_dispatch.DispatchTasks(aContext);
        }
      },
      [&](const ConfigTransferTimer&) { m_configs.OnTransferTimer(aContext); },
      [&](const DrainedZonesTimer& aDrained) {
        m_drains.OnZonesTimer(aContext, aDrained.m_zones);
      },
      [&](const ForwardDeadlineTimer& aDeadline) {
        m_forwards.OnDeadline(aContext, aDeadline.m_forward);
      },
      [&](const ForwardTimer&) { m_peerLoads.OnTimer(aContext); },
      [&](const IsolationTimer&) { m_membership.OnIsolationTimer(aContext); },
      [&](const QuarantineTimer&) {
        QuarantineLimit(m_board).OnTimer(aContext);
      } },
    aTimer);
}

void
Entry::On(EntryEventContext& aContext, const DrainRequested& /*aEvent*/)
{
  if (!m_board.m_draining) {
    m_board.m_draining = true;
    aContext.Record(EventCode::ProcessDraining,
                    0,
                    EventDetail().Add("open", m_board.m_submissions.size()));
    m_peerLoads.OnDrain(aContext);
  }
}

void
Entry::On(EntryEventContext& aContext, ConfigChanged aEvent)
{
  if (m_configs.Apply(aContext, std::move(aEvent))) {
    m_membership.NotifyPeers(aContext);
  }
}

void
Entry::On(EntryEventContext& aContext, SubmitRequest aEvent)
{
  m_admission.OnRequest(aContext, std::move(aEvent));
}

void
Entry::On(EntryEventContext& aContext, SubmitJob aEvent)
{
  if (!m_forwards.TakeJob(aContext, aEvent)) {
    m_admission.OnJob(aContext, std::move(aEvent));
  }
}

void
Entry::On(EntryEventContext& aContext, const CancelSubmission& aEvent)
{
  if (m_forwards.OnCancel(aContext, aEvent.m_submission)) {
    return;
  }
  if (Submission* submission = m_board.Find(aEvent.m_submission)) {
    m_answers.Cancel(aContext, *submission);
  }
}

void
Entry::On(EntryEventContext& aContext, const CallerGone& aEvent)
{
  if (m_forwards.OnCallerGone(aContext, aEvent.m_caller)) {
    return;
  }
  const auto found = m_board.m_callers.find(aEvent.m_caller);
  if (found == m_board.m_callers.end()) {
    return;
  }
  if (Submission* submission = m_board.Find(found->second)) {
    aContext.Record(EventCode::CallerGone,
                    *submission,
                    EventDetail()
                      .Add("age_ms", aContext.m_now - submission->m_admittedAt)
                      .Add("others", submission->m_joinedCallers.size()));
    m_answers.OnCallerDisconnected(aContext, *submission, aEvent.m_caller);
  }
}

void
Entry::On(EntryEventContext& aContext, PeersChanged aEvent)
{
  const std::vector<ProcessId> before = m_board.m_peers;
  m_membership.OnPeersChanged(aContext, std::move(aEvent));
  m_peerLoads.OnPeersChanged(aContext, before);
}

void
Entry::On(EntryEventContext& aContext, const NoPriorSubmissions& /*aEvent*/)
{
  m_board.m_departuresKnownSince =
    aContext.m_now - m_board.m_policy.m_keyRetention;
}

void
Entry::On(EntryEventContext& aContext, const ZoneDrainsChanged& aEvent)
{
  m_membership.OnDrains(aContext, aEvent.m_drains);
}

void
Entry::On(EntryEventContext& aContext, const ProcessorSampled& aEvent)
{
  m_peerLoads.OnSample(aContext, aEvent);
}

void
Entry::On(EntryEventContext& /*aContext*/, const CallersRead& aEvent)
{
  m_board.m_callersReadUntil = aEvent.m_until;
}

void
Entry::On(EntryEventContext& aContext, const MessagesHandled& aEvent)
{
  m_board.m_messageProgress.Add(aContext.m_now, aEvent.m_until);
}

Instant
Entry::NextWake() const
{
  return m_board.m_timers.Next();
}

bool
Entry::Idle() const
{
  return m_board.m_submissions.empty() &&
         m_board.m_forwarding.m_outgoing.empty() &&
         m_board.m_forwarding.m_incoming.empty();
}

std::optional<SubmissionStatus>
Entry::Status(SubmissionId aSubmission) const
{
  const auto finished = m_board.m_finished.find(aSubmission);
  if (finished != m_board.m_finished.end()) {
    return finished->second.m_status;
  }
  const auto found = m_board.m_submissions.find(aSubmission);
  if (found == m_board.m_submissions.end()) {
    return m_forwards.Status(aSubmission);
  }
  const Submission& submission = found->second;
  SubmissionStatus status;
  status.m_submission = aSubmission;
  status.m_service = submission.m_service;
  status.m_team = submission.m_team;
  status.m_done = submission.m_done;
  for (const WorkItem& item : submission.m_items) {
    status.m_offered += item.m_state == WorkState::Offered ? 1 : 0;
  }
  status.m_waiting = static_cast<std::uint32_t>(submission.m_items.size()) -
                     status.m_done - status.m_offered;
  return status;
}

std::optional<SubmissionStatus>
Entry::Find(const std::string& aName) const
{
  if (const std::optional<SubmissionId> forwarded = m_forwards.Find(aName)) {
    return m_forwards.Status(*forwarded);
  }
  const auto named = m_board.m_byName.find(aName);
  return named == m_board.m_byName.end() ? std::nullopt : Status(named->second);
}

std::size_t
Entry::PendingJobs(std::string_view aQueue) const
{
  return static_cast<std::size_t>(
    std::count_if(m_board.m_submissions.begin(),
                  m_board.m_submissions.end(),
                  [&](const std::pair<const SubmissionId, Submission>& aOpen) {
                    const Submission& submission = aOpen.second;
                    return submission.m_queue == aQueue &&
                           std::all_of(submission.m_items.begin(),
                                       submission.m_items.end(),
                                       [](const WorkItem& aItem) {
                                         return aItem.m_offers == 0;
                                       });
                  }));
}

std::vector<AgentStatus>
Entry::Agents() const
{
  std::vector<AgentStatus> agents;
  for (const auto& [id, agent] : m_board.m_agents) {
    AgentStatus status;
    status.m_agent = id;
    status.m_zone = agent.m_announced.m_zone;
    status.m_httpAddress = agent.m_announced.m_httpAddress;
    status.m_leaving = agent.m_announced.m_leaving;
    status.m_reachable = agent.m_reachable;
    status.m_endpoint = agent.m_announced.m_endpoint;
    status.m_workers = agent.m_announced.m_workers;
    status.m_load = agent.m_load;
    status.m_openAttempts =
      static_cast<std::uint32_t>(agent.m_openAttempts.size());
    status.m_taskSlowdown =
      m_board.m_taskSpeeds.SlowdownOf(agent.m_taskSlowdown);
    agents.push_back(std::move(status));
  }
  return agents;
}

const ZoneDrains&
Entry::Drains() const
{
  return m_board.m_drains;
}

EntryCounters
Entry::Counters() const
{
  EntryCounters counters = m_board.m_counters;
  counters.m_isolatedQueues = m_board.m_isolation.Size();
  counters.m_waiting =
    m_board.m_taskPool.m_queue.Size() + m_board.m_isolatedPool.m_queue.Size();
  for (const auto& [name, service] : m_board.m_services) {
    counters.m_waiting += service.m_requestPool.m_queue.Size();
  }
  for (const auto& [id, agent] : m_board.m_agents) {
    counters.m_agentsFast += agent.m_speedClass == SpeedClass::Fast ? 1 : 0;
    counters.m_agentsSlow += agent.m_speedClass == SpeedClass::Slow ? 1 : 0;
  }
  return counters;
}

std::unique_ptr<IEntry>
MakeEntry(ProcessId aSelf,
          std::uint8_t aShard,
          EntryPolicy aPolicy,
          std::uint64_t aSeed)
{
  return std::make_unique<Entry>(
    std::move(aSelf), aShard, std::move(aPolicy), aSeed);
}

} // namespace mulberrysail::core
