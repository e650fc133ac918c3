#include "core/internal/entry/offerbatches.h"

#include "core/internal/entry/demandview.h"
#include "core/internal/entry/jobpolicy.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** An outcome is overdue after this multiple of the expected run time. */
constexpr int kOverdueFactor = 8;
constexpr Duration kMinOverdueDelay = std::chrono::seconds(2);

} // namespace

void
OfferBatches::Add(EntryEventContext& aContext,
                  Submission& aSubmission,
                  std::uint32_t aIndex,
                  AgentRecord& aAgent)
{
  WorkItem& item = aSubmission.m_items[aIndex];
  item.m_state = WorkState::Offered;
  item.m_attempt = { m_board.NextId() };
  item.m_agent = aAgent.m_id;
  item.m_offeredAt = aContext.m_now;
  item.m_loadAgeAtOffer = aContext.m_now - aAgent.m_loadReceivedAt;
  const WorkRef work{ aSubmission.m_id, aIndex };
  m_board.m_attempts[item.m_attempt] = work;
  aAgent.m_openAttempts.insert(item.m_attempt);
  ++item.m_offers;
  ++aAgent.m_offersSent;
  ArmHeartbeat(aContext);
  aAgent.m_unreflectedOffers.push_back({ aAgent.m_offersSent,
                                         aSubmission.m_kind,
                                         item.m_expectedRun,
                                         item.m_need });
  ++m_board.m_counters.m_offers;
  if (item.m_retries == 0) {
    m_board.m_retryBudget.CountFirstAttempt();
  }

  const Duration clockOffset = aAgent.m_clockOffset.At(aContext.m_now);
  core::Offer offer;
  offer.m_attempt = item.m_attempt;
  offer.m_kind = aSubmission.m_kind;
  offer.m_service = aSubmission.m_service;
  offer.m_team = aSubmission.m_team;
  // Both instants are on the agent's clock and never later than intended.
  offer.m_startBy =
    (aSubmission.m_queue.empty()
       ? item.m_startBy
       : aSubmission.m_deadline - item.m_expectedRun - item.m_successorRun) +
    clockOffset;
  offer.m_deadline = aSubmission.m_deadline + clockOffset;
  offer.m_expectedRun = item.m_expectedRun;
  offer.m_need = item.m_need;
  if (aSubmission.m_kind == WorkKind::Task) {
    offer.m_job = aSubmission.m_id;
  }
  if (IsRestrictedToCandidates(aSubmission)) {
    offer.m_key = aSubmission.m_key;
  }
  offer.m_payload = item.m_payload;
  offer.m_name = item.m_name;
  offer.m_startNumber = item.m_offers;
  offer.m_requiredLabel = item.m_requiredLabel;
  offer.m_queue = aSubmission.m_queue;
  offer.m_dispatchTime =
    LatestStartByPriority(m_board, aSubmission) + clockOffset;
  OfferedItems& offered = m_offeredItems[aSubmission.m_id];
  offered.m_agents +=
    (offered.m_agents.empty() ? "" : ",") + aAgent.m_id.m_name;
  offered.m_oldestLoad =
    std::max(offered.m_oldestLoad, aContext.m_now - aAgent.m_loadReceivedAt);
  ++offered.m_items;
  OfferBatch& batch = m_batches[aAgent.m_id];
  batch.m_agentIncarnation = aAgent.m_id.m_incarnation;
  batch.m_omitRepeatedPayloads = aAgent.m_announced.m_readsOmittedPayloads;
  batch.m_sequence = aAgent.m_offersSent;
  batch.m_offers.push_back(std::move(offer));
  m_board.m_timers.Add(
    aContext.m_now +
      std::max(kMinOverdueDelay, item.m_expectedRun * kOverdueFactor),
    OverdueTimer{ item.m_attempt });
}

void
OfferBatches::ArmHeartbeat(EntryEventContext& aContext)
{
  const Duration interval = m_board.m_policy.m_openAttemptHeartbeat;
  if (m_board.m_isHeartbeatArmed || interval == Duration::zero()) {
    return;
  }
  m_board.m_isHeartbeatArmed = true;
  m_board.m_timers.Add(aContext.m_now + interval / 2, HeartbeatTimer{});
}

void
OfferBatches::Flush(EntryEventContext& aContext, Duration aSubscribeFor)
{
  for (auto& [agent, batch] : m_batches) {
    batch.m_subscribeFor = aSubscribeFor;
    const auto record = m_board.m_agents.find(agent);
    if (record != m_board.m_agents.end()) {
      batch.m_demand = DemandView(m_board).StatementTo(record->second);
      batch.m_leaseGrantedAt = record->second.RenewLease(
        aContext.m_now, m_board.LeaseTime(aContext.m_now));
    }
    aContext.Send(agent, std::move(batch));
  }
  m_batches.clear();
  for (const auto& [id, offered] : std::exchange(m_offeredItems, {})) {
    if (const Submission* submission = m_board.Find(id)) {
      aContext.Record(
        EventCode::AttemptOffered,
        *submission,
        EventDetail()
          .Add("tasks", offered.m_items)
          .Add("agents", offered.m_agents)
          .Add("oldest_load_ms", offered.m_oldestLoad)
          .Add("waited_ms", aContext.m_now - submission->m_admittedAt));
    }
  }
}

} // namespace mulberrysail::core
