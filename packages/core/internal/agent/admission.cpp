#include "core/internal/agent/admission.h"

#include "core/ientry.h"
#include "core/internal/agent/capacitygrants.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/outcomes.h"
#include "core/internal/agent/reporter.h"
#include "core/internal/agent/starter.h"
#include "core/internal/agent/workerusage.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** The newest offer has the weight 1 / kMeanNeedWindow in the moving average.
 */
constexpr std::uint32_t kMeanNeedWindow = 16;

void
UpdateMean(std::uint32_t& aMean, std::uint32_t aValue)
{
  aMean = aMean == 0
            ? aValue
            : (aMean * (kMeanNeedWindow - 1) + aValue) / kMeanNeedWindow;
}

} // namespace

void
Admission::ProcessOffers(EntryIndex aEntry, OfferBatch aBatch)
{
  if (aBatch.m_agentIncarnation != m_board.m_self.m_incarnation) {
    for (const Offer& offer : aBatch.m_offers) {
      AttemptReport report;
      report.m_attempt = offer.m_attempt;
      report.m_kind = ErrorKind::StaleIncarnation;
      ++m_board.m_counters.m_offersRefused;
      Outcomes(m_board).QueueReport(aEntry, std::move(report));
    }
    return;
  }
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  Membership(m_board).RenewLease(entry, aBatch.m_leaseGrantedAt);
  entry.m_lastOfferSequence =
    std::max(entry.m_lastOfferSequence, aBatch.m_sequence);
  if (!aBatch.m_offers.empty()) {
    entry.m_subscribedUntil[ShardOf(aBatch.m_offers.front().m_attempt)] =
      m_board.m_now + aBatch.m_subscribeFor;
  }
  const std::optional<std::uint8_t> shard =
    aBatch.m_offers.empty()
      ? std::nullopt
      : std::optional(ShardOf(aBatch.m_offers.front().m_attempt));
  for (Offer& offer : aBatch.m_offers) {
    ProcessOffer(aEntry, std::move(offer), aBatch.m_leaseGrantedAt);
  }
  if (shard) {
    CapacityGrants(m_board).RecordDemand(entry, *shard, aBatch.m_demand);
  }
}

void
Admission::ProcessOffer(EntryIndex aEntry,
                        Offer aOffer,
                        std::optional<Instant> aLeaseGrantedAt)
{
  const AttemptKey key{ aEntry, aOffer.m_attempt };
  if (HandleDuplicate(key, aOffer)) {
    return;
  }
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  ++m_board.m_counters.m_offersReceived;
  if (aOffer.m_kind == WorkKind::Task) {
    UpdateMean(m_board.m_workers.m_meanNeedMilliCores,
               aOffer.m_need.m_milliCores);
    UpdateMean(m_board.m_workers.m_meanNeedMemoryMb, aOffer.m_need.m_memoryMb);
  }
  // A newer message may have renewed the entry's lease, but the entry may have
  // given up this offer since it was sent.
  const bool arrivedLate =
    aLeaseGrantedAt && Membership::HasLapsed(m_board, *aLeaseGrantedAt);
  const ErrorKind kind =
    arrivedLate ? ErrorKind::AttemptExpired : CheckOffer(entry, aOffer);
  if (kind == ErrorKind::QueueFull) {
    entry.m_earliestRefused =
      std::min(entry.m_earliestRefused.value_or(aOffer.m_dispatchTime),
               aOffer.m_dispatchTime);
  }
  if (kind == ErrorKind::Draining && IsZoneDrained(m_board)) {
    ++m_board.m_counters.m_refusedForDrain;
  }
  if (kind != ErrorKind::None) {
    Outcomes(m_board).RefuseOffer(key, aOffer, kind);
    return;
  }
  ++entry.m_openAttempts;
  CapacityGrants(m_board).CountAccepted(entry, aOffer);
  Attempt& attempt = m_board.m_attempts.m_open[key];
  attempt.m_key = key;
  attempt.m_offer = std::move(aOffer);
  attempt.m_sequence = m_board.m_attempts.m_nextUniqueNumber++;
  attempt.m_receivedAt = m_board.m_now;
  attempt.m_leaseGrantedAt = aLeaseGrantedAt;
  if (attempt.m_offer.m_key) {
    KeyRegistry(m_board).Claim(attempt);
  }
  Queues(m_board).Add(attempt);
  m_board.m_attempts.m_newlyAccepted.push_back(key);
}

bool
Admission::HandleDuplicate(const AttemptKey& aKey, const Offer& aOffer)
{
  if (m_board.m_attempts.m_open.contains(aKey)) {
    return true;
  }
  if (const AttemptReport* cached = ReportCache(m_board).Find(aKey)) {
    Outcomes(m_board).QueueReport(aKey.m_entry, *cached);
    return true;
  }
  switch (ReportCache(m_board).Classify(aKey)) {
    case UnknownAttempt::NeverSeen:
      return false;
    case UnknownAttempt::MayHaveBeenRefused:
      Outcomes(m_board).RefuseOffer(aKey, aOffer, ErrorKind::AttemptExpired);
      return true;
    case UnknownAttempt::MayHaveStarted:
      break;
  }
  AttemptReport report;
  report.m_attempt = aKey.m_attempt;
  report.m_fate = AttemptFate::Lost;
  report.m_kind = ErrorKind::RunLost;
  ReportCache(m_board).Store(aKey, report, true, aOffer.m_startBy);
  Outcomes(m_board).QueueReport(aKey.m_entry, std::move(report));
  return true;
}

ErrorKind
Admission::CheckOffer(const EntryRecord& aEntry, const Offer& aOffer) const
{
  if (!AcceptsWork(m_board)) {
    return ErrorKind::Draining;
  }
  if (m_board.m_now > aOffer.m_startBy) {
    return ErrorKind::AttemptExpired;
  }
  if (m_board.m_now > aOffer.m_deadline) {
    return ErrorKind::DeadlinePassedQueued;
  }
  if (aOffer.m_key && KeyRegistry(m_board).IsSuperseded(aOffer)) {
    return ErrorKind::Superseded;
  }
  return aOffer.m_kind == WorkKind::Request ? CheckRequest(aOffer)
                                            : CheckTask(aEntry, aOffer);
}

ErrorKind
Admission::CheckRequest(const Offer& aOffer) const
{
  if (!EndpointServes(m_board) ||
      aOffer.m_service != m_board.m_endpoint.m_info->m_service) {
    return ErrorKind::NoEndpoint;
  }
  // Requests that can start at once do not count against the queue limit.
  const std::size_t limit = static_cast<std::size_t>(FreeSlots(m_board)) +
                            m_board.m_policy.m_maxQueuedRequests;
  return m_board.m_requests.m_order.size() < limit ? ErrorKind::None
                                                   : ErrorKind::QueueFull;
}

ErrorKind
Admission::CheckTask(const EntryRecord& aEntry, const Offer& aOffer) const
{
  if (!HasWorkerFor(m_board, aOffer, {})) {
    return WhyNoWorkerFor(m_board, aOffer);
  }
  const bool accepted =
    m_board.m_tasks.m_size < m_board.m_policy.m_maxQueuedTasks ||
    CanStartAtOnce(aEntry, aOffer);
  return accepted ? ErrorKind::None : ErrorKind::QueueFull;
}

bool
Admission::CanStartAtOnce(const EntryRecord& aEntry, const Offer& aOffer) const
{
  // No attempt of a batch is started before all its offers are processed, so
  // the task must fit together with the tasks that are already queued.
  Resources needed = aOffer.m_need;
  for (const auto& [key, job] : m_board.m_tasks.m_jobs) {
    for (const auto& [order, attempt] : job.m_tasks) {
      AddResources(needed, attempt->m_offer.m_need);
    }
  }
  const Resources free =
    FreeCapacityFor(m_board, aEntry, CurrentLoad(m_board).m_freeCapacity);
  return free.Fits(needed) &&
         std::any_of(
           m_board.m_workers.m_workers.begin(),
           m_board.m_workers.m_workers.end(),
           [&](const std::pair<const std::string, Worker>& aWorker) {
             return CanRun(aWorker.second.m_info,
                           aOffer.m_service,
                           aOffer.m_requiredLabel,
                           aOffer.m_need) &&
                    FreeCapacity(m_board, aWorker.second).Fits(needed);
           });
}

} // namespace mulberrysail::core::agent
