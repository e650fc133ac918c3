#include "core/internal/entry/entry.h"

#include "core/internal/overloaded.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Ids begin at a random multiple of this, so that those of other entries
 * and lives are different ones. */
constexpr unsigned kIdBaseShift = 24;

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
  , m_membership(m_board, m_dispatch, m_outcomes, m_claims)
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
  EntryTurn turn{ aNow, aCommands };
  if (!m_board.m_started) {
    m_board.m_started = true;
    m_board.m_departuresKnownSince = aNow;
  }
  std::visit([&](auto& aAny) { On(turn, std::move(aAny)); }, aEvent);
  m_dispatch.Flush(turn);
}

void
Entry::On(EntryTurn& aTurn, MessageReceived aEvent)
{
  const ProcessId& from = aEvent.m_from;
  m_membership.OnHeard(aTurn, from);
  std::visit(Overloaded{ [&](Announce& aAnnounce) {
                          m_membership.OnAnnounce(
                            aTurn, from, std::move(aAnnounce));
                        },
                         [&](ReportBatch& aBatch) {
                           m_membership.OnLoad(aTurn, from, aBatch.m_load);
                           m_outcomes.OnReports(aTurn, from, std::move(aBatch));
                         },
                         [&](FenceReply& aReply) {
                           m_claims.OnReply(aTurn, from, std::move(aReply));
                         },
                         [&](const PeerHello& aHello) {
                           m_membership.OnPeerHello(aTurn, from, aHello);
                         },
                         [&](const ConfigRequest& aRequest) {
                           m_membership.OnConfigRequest(aTurn, from, aRequest);
                         },
                         // The rest is not meant for an entry; a configuration
                         // goes to the configuration service first.
                         [](const OfferBatch&) {},
                         [](const RevokeBatch&) {},
                         [](const Reconcile&) {},
                         [](const FenceQuery&) {},
                         [](const EntryHello&) {},
                         [](const ConfigUpdate&) {} },
             aEvent.m_message);
}

void
Entry::On(EntryTurn& aTurn, SendFailed aEvent)
{
  m_membership.OnUnreachable(aTurn, aEvent.m_to);
  if (const OfferBatch* batch = std::get_if<OfferBatch>(&aEvent.m_message)) {
    m_outcomes.OnOffersNotSent(aTurn, *batch);
  }
  if (std::holds_alternative<FenceQuery>(aEvent.m_message)) {
    m_claims.OnAgentGone(aTurn, aEvent.m_to);
  }
  m_dispatch.DispatchAll(aTurn);
}

void
Entry::On(EntryTurn& aTurn, const LinkReset& aEvent)
{
  m_membership.OnLinkReset(aTurn, aEvent.m_peer);
}

void
Entry::On(EntryTurn& aTurn, const TimerFired& /*aEvent*/)
{
  while (m_board.m_timers.Next() <= aTurn.m_now) {
    Fire(aTurn, m_board.m_timers.Take());
  }
}

void
Entry::Fire(EntryTurn& aTurn, const Timer& aTimer)
{
  std::visit(
    Overloaded{
      [&](const DeadlineTimer& aDeadline) {
        m_answers.OnDeadline(aTurn, aDeadline.m_submission);
      },
      [&](const StartByTimer& aStartBy) {
        m_dispatch.OnStartBy(aTurn, aStartBy.m_work);
      },
      [&](const OverdueTimer& aOverdue) {
        m_outcomes.OnOverdue(aTurn, aOverdue.m_attempt);
      },
      [&](const AgentLeaseTimer& aLease) {
        m_membership.OnLeaseTimer(aTurn, aLease.m_agent);
      },
      [&](const ClaimTimer& aClaim) {
        m_claims.OnTimer(aTurn, aClaim.m_fence);
      },
      [&](const ProbeTimer& aProbe) {
        m_dispatch.OnProbeTimer(aTurn, aProbe.m_work);
      },
      [&](const ForgetTimer& aForget) {
        m_answers.OnForget(aForget.m_submission);
      },
      [&](const DispatchTimer&) { m_dispatch.DispatchAll(aTurn); },
      [&](const HeartbeatTimer&) { m_membership.OnHeartbeat(aTurn); } },
    aTimer);
}

void
Entry::On(EntryTurn& aTurn, const DrainRequested& /*aEvent*/)
{
  if (!m_board.m_draining) {
    m_board.m_draining = true;
    aTurn.Record(EventCode::ProcessDraining,
                 0,
                 EventDetail().Add("open", m_board.m_submissions.size()));
  }
}

void
Entry::On(EntryTurn& aTurn, ConfigChanged aEvent)
{
  m_membership.OnConfigChanged(aTurn, std::move(aEvent));
}

void
Entry::On(EntryTurn& aTurn, SubmitRequest aEvent)
{
  m_admission.OnRequest(aTurn, std::move(aEvent));
}

void
Entry::On(EntryTurn& aTurn, SubmitJob aEvent)
{
  m_admission.OnJob(aTurn, std::move(aEvent));
}

void
Entry::On(EntryTurn& aTurn, const CancelSubmission& aEvent)
{
  if (Submission* submission = m_board.Find(aEvent.m_submission)) {
    m_answers.Cancel(aTurn, *submission);
  }
}

void
Entry::On(EntryTurn& aTurn, const CallerGone& aEvent)
{
  const auto found = m_board.m_callers.find(aEvent.m_caller);
  if (found == m_board.m_callers.end()) {
    return;
  }
  if (Submission* submission = m_board.Find(found->second)) {
    aTurn.Record(EventCode::CallerGone,
                 *submission,
                 EventDetail()
                   .Add("age_ms", aTurn.m_now - submission->m_admittedAt)
                   .Add("others", submission->m_joined.size()));
    m_answers.CallerLeft(aTurn, *submission, aEvent.m_caller);
  }
}

void
Entry::On(EntryTurn& aTurn, PeersChanged aEvent)
{
  m_membership.OnPeersChanged(aTurn, std::move(aEvent));
}

void
Entry::On(EntryTurn& aTurn, const NoPriorSubmissions& /*aEvent*/)
{
  m_board.m_departuresKnownSince = aTurn.m_now - m_board.m_policy.m_keyRetention;
}

Instant
Entry::NextWake() const
{
  return m_board.m_timers.Next();
}

bool
Entry::Idle() const
{
  return m_board.m_submissions.empty();
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
    return std::nullopt;
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
    status.m_openAttempts = static_cast<std::uint32_t>(agent.m_open.size());
    agents.push_back(std::move(status));
  }
  return agents;
}

EntryCounters
Entry::Counters() const
{
  EntryCounters counters = m_board.m_counters;
  counters.m_waiting = m_board.m_tasks.m_queue.Size();
  for (const auto& [name, service] : m_board.m_services) {
    counters.m_waiting += service.m_requests.m_queue.Size();
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
