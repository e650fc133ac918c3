#include "daemon/internal/counterrows.h"

#include <array>

namespace mulberrysail::daemon {

namespace {

using core::AgentCounters;
using core::EntryCounters;

constexpr std::array kEntryRows = {
  CounterRow<EntryCounters>{ "admitted",
                             "Submissions taken.",
                             &EntryCounters::m_admitted },
  CounterRow<EntryCounters>{ "refused",
                             "Submissions refused on arrival.",
                             &EntryCounters::m_refused },
  CounterRow<EntryCounters>{ "completed",
                             "Submissions answered with their outputs.",
                             &EntryCounters::m_completed },
  CounterRow<EntryCounters>{ "failed",
                             "Submissions taken and answered with an error.",
                             &EntryCounters::m_failed },
  CounterRow<EntryCounters>{ "offers",
                             "Attempts offered to agents.",
                             &EntryCounters::m_offers },
  CounterRow<EntryCounters>{ "offers_refused",
                             "Offers that an agent refused.",
                             &EntryCounters::m_offersRefused },
  CounterRow<EntryCounters>{ "retries",
                             "Requests and tasks placed again.",
                             &EntryCounters::m_retries },
  CounterRow<EntryCounters>{ "agents_compared",
                             "Agents whose load was read to place tasks.",
                             &EntryCounters::m_agentsCompared },
  CounterRow<EntryCounters>{ "replies_dropped",
                             "Replies that matched no open attempt.",
                             &EntryCounters::m_repliesDropped },
  CounterRow<EntryCounters>{
    "given_up",
    "Submissions given up because runs were lost with workers too often.",
    &EntryCounters::m_givenUp },
  CounterRow<EntryCounters>{ "forwarded",
                             "Jobs passed to another entry.",
                             &EntryCounters::m_forwarded },
  CounterRow<EntryCounters>{ "forwards_accepted",
                             "Jobs admitted for another entry.",
                             &EntryCounters::m_forwardsAccepted },
  CounterRow<EntryCounters>{
    "forwards_taken_back",
    "Forwarded jobs that the other entry did not take.",
    &EntryCounters::m_forwardsTakenBack },
  CounterRow<EntryCounters>{ "forwards_cancelled",
                             "Forwarded jobs that their callers cancelled.",
                             &EntryCounters::m_forwardsCancelled },
  CounterRow<EntryCounters>{
    "forwards_unanswered",
    "Forwarded jobs whose callers were told that they may have run.",
    &EntryCounters::m_forwardsUnanswered },
  CounterRow<EntryCounters>{ "forward_percent",
                             "Share of the arriving jobs that is forwarded.",
                             &EntryCounters::m_forwardPercent,
                             true },
  CounterRow<EntryCounters>{ "processor_used_percent",
                             "Used share of `processor_share`.",
                             &EntryCounters::m_processorUsedPercent,
                             true },
  CounterRow<EntryCounters>{
    "long_runs",
    "Runs that lasted too long to learn the speed of their agent from.",
    &EntryCounters::m_longRuns },
  CounterRow<EntryCounters>{ "agents_fast",
                             "Agents whose tasks take less than 1 / 1.2 of the "
                             "mean, as learned.",
                             &EntryCounters::m_agentsFast,
                             true },
  CounterRow<EntryCounters>{ "agents_slow",
                             "Agents whose tasks take more than 1.2 times the "
                             "mean, as learned.",
                             &EntryCounters::m_agentsSlow,
                             true },
  CounterRow<EntryCounters>{ "others_demand_age_ms",
                             "Age of the figure of other entries' waiting work "
                             "that was used last.",
                             &EntryCounters::m_othersDemandAgeMs,
                             true },
  CounterRow<EntryCounters>{
    "isolated_queues",
    "Queues isolated because their tasks crash workers.",
    &EntryCounters::m_isolatedQueues,
    true },
  CounterRow<EntryCounters>{ "open",
                             "Submissions that are not answered yet.",
                             &EntryCounters::m_open,
                             true },
  CounterRow<EntryCounters>{ "waiting",
                             "Requests and tasks that wait at the entry.",
                             &EntryCounters::m_waiting,
                             true },
};

constexpr std::array kAgentRows = {
  CounterRow<AgentCounters>{ "offers_received",
                             "Attempts offered by entries.",
                             &AgentCounters::m_offersReceived },
  CounterRow<AgentCounters>{ "offers_refused",
                             "Attempts refused.",
                             &AgentCounters::m_offersRefused },
  CounterRow<AgentCounters>{ "started",
                             "Attempts started.",
                             &AgentCounters::m_started },
  CounterRow<AgentCounters>{ "completed",
                             "Attempts that ran to their end.",
                             &AgentCounters::m_completed },
  CounterRow<AgentCounters>{ "failed",
                             "Attempts that ran and failed.",
                             &AgentCounters::m_failed },
  CounterRow<AgentCounters>{ "lost",
                             "Attempts whose outcome can't be learned.",
                             &AgentCounters::m_lost },
  CounterRow<AgentCounters>{ "revoked",
                             "Attempts taken out of the queue.",
                             &AgentCounters::m_revoked },
  CounterRow<AgentCounters>{ "reports_sent",
                             "Reports sent to entries.",
                             &AgentCounters::m_reportsSent },
  CounterRow<AgentCounters>{ "worker_crashes",
                             "Times that a worker was lost with its runs.",
                             &AgentCounters::m_workerCrashes },
  CounterRow<AgentCounters>{ "grants_made",
                             "Grants of free capacity to entries.",
                             &AgentCounters::m_grantsMade },
  CounterRow<AgentCounters>{ "grants_expired",
                             "Grants that ended with unused capacity.",
                             &AgentCounters::m_grantsExpired },
  CounterRow<AgentCounters>{ "offers_within_grant",
                             "Offers accepted within a grant.",
                             &AgentCounters::m_offersWithinGrant },
  CounterRow<AgentCounters>{ "queued",
                             "Attempts that wait.",
                             &AgentCounters::m_queued,
                             true },
  CounterRow<AgentCounters>{ "running",
                             "Attempts that run.",
                             &AgentCounters::m_running,
                             true },
};

} // namespace

std::span<const CounterRow<core::EntryCounters>>
EntryCounterRows()
{
  return kEntryRows;
}

std::span<const CounterRow<core::AgentCounters>>
AgentCounterRows()
{
  return kAgentRows;
}

} // namespace mulberrysail::daemon
