#include "protocol/internal/bodyreader.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::protocol {

namespace {

/** Some 2,000 years: sums of a few such times stay far from overflow. */
constexpr std::int64_t kMaxMicroseconds = 1LL << 56U;
/** The product of the two greatest values fits a duration. */
constexpr core::Duration kMaxRunTime = std::chrono::hours(24);
constexpr std::uint32_t kMaxMilliCores = 100'000'000;

template<typename Numbers>
std::vector<core::AttemptId>
ReadAttempts(const Numbers& aFrom)
{
  std::vector<core::AttemptId> attempts;
  attempts.reserve(static_cast<std::size_t>(aFrom.size()));
  for (const std::uint64_t attempt : aFrom) {
    attempts.push_back({ attempt });
  }
  return attempts;
}

core::CallerKey
ReadKey(const wire::CallerKey& aFrom)
{
  return { aFrom.key(), aFrom.submission(), aFrom.claim() };
}

core::ZoneDrains
ReadDrains(const wire::ZoneDrains& aFrom)
{
  return { aFrom.revision(), { aFrom.zones().begin(), aFrom.zones().end() } };
}

core::EndpointInfo
ReadEndpoint(const wire::EndpointInfo& aFrom)
{
  return {
    aFrom.service(), aFrom.slots(), aFrom.connections(), aFrom.leaving()
  };
}

} // namespace

void
BodyReader::AddFault(std::string_view aText)
{
  if (m_fault.empty()) {
    m_fault = aText;
  }
}

core::Duration
BodyReader::ReadDuration(std::int64_t aMicroseconds)
{
  if (aMicroseconds < -kMaxMicroseconds || aMicroseconds > kMaxMicroseconds) {
    AddFault("a time is out of range");
    return {};
  }
  return core::Duration(aMicroseconds);
}

core::Instant
BodyReader::ReadInstant(std::int64_t aMicroseconds)
{
  if (aMicroseconds == core::kNever.time_since_epoch().count()) {
    return core::kNever;
  }
  return core::Instant(ReadDuration(aMicroseconds));
}

core::Duration
BodyReader::ReadRunTime(std::int64_t aMicroseconds)
{
  return std::min(ReadDuration(aMicroseconds), kMaxRunTime);
}

core::Resources
BodyReader::ReadResources(const wire::Resources& aFrom)
{
  if (aFrom.milli_cores() > kMaxMilliCores) {
    AddFault("the number of cores is out of range");
    return {};
  }
  return { aFrom.milli_cores(), aFrom.memory_mb(), aFrom.accelerators() };
}

core::AttemptFate
BodyReader::ReadFate(wire::AttemptFate aFrom)
{
  return CheckedEnum(static_cast<std::uint32_t>(aFrom),
                     core::AttemptFate::Interrupted);
}

core::ErrorKind
BodyReader::ReadKind(std::uint32_t aFrom)
{
  return CheckedEnum(aFrom, core::kLastErrorKind);
}

core::WorkerInfo
BodyReader::ReadWorker(const wire::WorkerInfo& aFrom)
{
  return { aFrom.name(),
           aFrom.rack(),
           ReadResources(aFrom.capacity()),
           aFrom.quarantined(),
           aFrom.service(),
           { aFrom.labels().begin(), aFrom.labels().end() },
           aFrom.warming_up(),
           aFrom.failing() };
}

std::vector<core::PriorityWork>
BodyReader::ReadWork(
  const google::protobuf::RepeatedPtrField<wire::PriorityWork>& aFrom)
{
  std::vector<core::PriorityWork> work;
  work.reserve(static_cast<std::size_t>(aFrom.size()));
  for (const wire::PriorityWork& one : aFrom) {
    work.push_back({ one.priority(), ReadDuration(one.core_time()) });
  }
  return work;
}

core::Demand
BodyReader::ReadDemand(const wire::Demand& aFrom)
{
  return { aFrom.milli_cores(),
           ReadInstant(aFrom.earliest_dispatch()),
           ReadWork(aFrom.work()) };
}

core::LoadReport
BodyReader::ReadLoad(const wire::LoadReport& aFrom)
{
  core::LoadReport load;
  load.m_sequence = aFrom.sequence();
  load.m_reportedAt = ReadInstant(aFrom.agent_now());
  load.m_lastOfferSequence = aFrom.offers_seen();
  load.m_config = { aFrom.config() };
  load.m_newestConfig = { aFrom.newest_config() };
  load.m_freeSlots = aFrom.free_slots();
  load.m_queuedRequests = aFrom.queued_requests();
  load.m_queuedRequestWork = ReadDuration(aFrom.queued_request_work());
  load.m_freeCapacity = ReadResources(aFrom.free_room());
  load.m_queuedTasks = aFrom.queued_tasks();
  load.m_queuedTaskWork = ReadDuration(aFrom.queued_task_work());
  load.m_drainsDigest = aFrom.drains_digest();
  load.m_demandOfOthers = ReadWork(aFrom.demand_of_others());
  return load;
}

core::RevokeBatch
BodyReader::ReadBody(const wire::RevokeBatch& aFrom)
{
  return { ReadAttempts(aFrom.attempts()), aFrom.stop_running() };
}

core::Reconcile
BodyReader::ReadBody(const wire::Reconcile& aFrom)
{
  return { ReadAttempts(aFrom.attempts()) };
}

core::FenceQuery
BodyReader::ReadBody(const wire::FenceQuery& aFrom)
{
  return { { aFrom.fence() },
           aFrom.service(),
           ReadKey(aFrom.key()),
           ReadDuration(aFrom.remember_for()) };
}

core::EntryHello
BodyReader::ReadBody(const wire::EntryHello& aFrom)
{
  core::EntryHello hello{ { aFrom.config() },
                          aFrom.draining(),
                          ReadDuration(aFrom.subscribe_for()),
                          aFrom.keep_config(),
                          static_cast<std::uint8_t>(aFrom.shard()) };
  hello.m_drains = ReadDrains(aFrom.drains());
  if (aFrom.has_demand()) {
    hello.m_demand = ReadDemand(aFrom.demand());
  }
  if (aFrom.has_lease_granted_at()) {
    hello.m_leaseGrantedAt = ReadInstant(aFrom.lease_granted_at());
  }
  hello.m_useFailingWorkersFor = ReadDuration(aFrom.use_failing_workers_for());
  return hello;
}

core::ConfigUpdate
BodyReader::ReadBody(const wire::ConfigUpdate& aFrom)
{
  return { { aFrom.version() },
           aFrom.document(),
           aFrom.offset(),
           aFrom.size(),
           aFrom.digest() };
}

core::ConfigRequest
BodyReader::ReadBody(const wire::ConfigRequest& aFrom)
{
  return {
    { aFrom.known() }, { aFrom.version() }, aFrom.digest(), aFrom.offset()
  };
}

core::WorkerCrash
BodyReader::ReadCrash(const wire::WorkerCrash& aFrom)
{
  core::WorkerCrash crash{ aFrom.number(),
                           aFrom.worker(),
                           ReadDuration(aFrom.detected_ago()),
                           {},
                           aFrom.confirmed() };
  for (const wire::LostRun& run : aFrom.runs()) {
    crash.m_runs.push_back(
      { { run.attempt() }, run.task(), run.queue(), ReadDuration(run.age()) });
  }
  return crash;
}

core::Announce
BodyReader::ReadBody(const wire::Announce& aFrom)
{
  core::Announce announce;
  announce.m_zone = aFrom.zone();
  announce.m_httpAddress = aFrom.http_address();
  announce.m_leaving = aFrom.leaving();
  announce.m_leaseFor = ReadDuration(aFrom.lease_for());
  if (aFrom.has_endpoint()) {
    announce.m_endpoint = ReadEndpoint(aFrom.endpoint());
  }
  for (const wire::WorkerInfo& worker : aFrom.workers()) {
    announce.m_workers.push_back(ReadWorker(worker));
  }
  announce.m_load = ReadLoad(aFrom.load());
  announce.m_readsOmittedPayloads = aFrom.reads_same_payload();
  announce.m_drains = ReadDrains(aFrom.drains());
  for (const wire::WorkerCrash& crash : aFrom.crashes()) {
    announce.m_crashes.push_back(ReadCrash(crash));
  }
  return announce;
}

core::PeerHello
BodyReader::ReadBody(const wire::PeerHello& aFrom)
{
  core::PeerHello hello;
  hello.m_config = { aFrom.config() };
  hello.m_draining = aFrom.draining();
  hello.m_recordsCover = ReadDuration(aFrom.remembers_for());
  for (const wire::DepartedAgent& departed : aFrom.departed()) {
    hello.m_departed.push_back(
      { { departed.name(), { departed.incarnation() } },
        departed.service(),
        ReadDuration(departed.age()),
        ReadDuration(departed.was_member_for()) });
  }
  hello.m_drains = ReadDrains(aFrom.drains());
  return hello;
}

core::PeerLoad
BodyReader::ReadBody(const wire::PeerLoad& aFrom)
{
  return { aFrom.allowed_milli_cores(),
           aFrom.used_percent(),
           aFrom.draining(),
           aFrom.accepts_forwarded_jobs() };
}

core::Offer
BodyReader::ReadOffer(wire::Offer& aFrom)
{
  core::Offer offer;
  offer.m_attempt = { aFrom.attempt() };
  offer.m_kind =
    CheckedEnum(static_cast<std::uint32_t>(aFrom.kind()), core::WorkKind::Task);
  offer.m_service = aFrom.service();
  offer.m_team = aFrom.team();
  offer.m_startBy = ReadInstant(aFrom.start_by());
  offer.m_deadline = ReadInstant(aFrom.deadline());
  offer.m_expectedRun = ReadRunTime(aFrom.expected_run());
  offer.m_need = ReadResources(aFrom.need());
  offer.m_job = { aFrom.job() };
  if (aFrom.has_key()) {
    offer.m_key = ReadKey(aFrom.key());
  }
  offer.m_payload = std::move(*aFrom.mutable_payload());
  offer.m_name = std::move(*aFrom.mutable_name());
  offer.m_startNumber = std::max<std::uint32_t>(aFrom.start(), 1);
  offer.m_requiredLabel = std::move(*aFrom.mutable_required_label());
  offer.m_dispatchTime = ReadInstant(aFrom.turn());
  offer.m_queue = std::move(*aFrom.mutable_queue());
  return offer;
}

core::AttemptReport
BodyReader::ReadReport(wire::AttemptReport& aFrom)
{
  core::AttemptReport report;
  report.m_attempt = { aFrom.attempt() };
  report.m_fate = ReadFate(aFrom.fate());
  report.m_kind = ReadKind(aFrom.error_kind());
  report.m_ranFor = ReadDuration(aFrom.ran_for());
  report.m_waitedFor = ReadDuration(aFrom.waited_for());
  report.m_output = std::move(*aFrom.mutable_output());
  report.m_warmingUp = aFrom.warming_up();
  return report;
}

core::OfferBatch
BodyReader::ReadBody(wire::OfferBatch& aFrom)
{
  core::OfferBatch batch;
  batch.m_agentIncarnation = { aFrom.agent_incarnation() };
  batch.m_sequence = aFrom.sequence();
  batch.m_offers.reserve(static_cast<std::size_t>(aFrom.offers_size()));
  std::size_t repeatedBytes = 0;
  for (wire::Offer& offer : *aFrom.mutable_offers()) {
    core::Offer read = ReadOffer(offer);
    if (offer.same_payload()) {
      const bool hasPrevious = !batch.m_offers.empty();
      repeatedBytes += hasPrevious ? batch.m_offers.back().m_payload.size() : 0;
      if (!hasPrevious || repeatedBytes > kMaxRepeatedBytes) {
        AddFault("a repeated payload is missing or too large");
        return batch;
      }
      read.m_payload = batch.m_offers.back().m_payload;
    }
    batch.m_offers.push_back(std::move(read));
  }
  batch.m_subscribeFor = ReadDuration(aFrom.subscribe_for());
  if (aFrom.has_demand()) {
    batch.m_demand = ReadDemand(aFrom.demand());
  }
  if (aFrom.has_lease_granted_at()) {
    batch.m_leaseGrantedAt = ReadInstant(aFrom.lease_granted_at());
  }
  return batch;
}

core::ReportBatch
BodyReader::ReadBody(wire::ReportBatch& aFrom)
{
  core::ReportBatch batch;
  batch.m_reports.reserve(static_cast<std::size_t>(aFrom.reports_size()));
  for (wire::AttemptReport& report : *aFrom.mutable_reports()) {
    batch.m_reports.push_back(ReadReport(report));
  }
  batch.m_load = ReadLoad(aFrom.load());
  return batch;
}

core::FenceReply
BodyReader::ReadBody(wire::FenceReply& aFrom)
{
  core::FenceReply reply;
  reply.m_fence = { aFrom.fence() };
  reply.m_fate = ReadFate(aFrom.fate());
  reply.m_kind = ReadKind(aFrom.error_kind());
  reply.m_output = std::move(*aFrom.mutable_output());
  reply.m_recordsCover = ReadDuration(aFrom.remembers_for());
  return reply;
}

std::optional<core::Message>
BodyReader::Read(wire::Envelope& aFrom)
{
  switch (aFrom.body_case()) {
    case wire::Envelope::kOfferBatch:
      return ReadBody(*aFrom.mutable_offer_batch());
    case wire::Envelope::kRevokeBatch:
      return ReadBody(aFrom.revoke_batch());
    case wire::Envelope::kReconcile:
      return ReadBody(aFrom.reconcile());
    case wire::Envelope::kFenceQuery:
      return ReadBody(aFrom.fence_query());
    case wire::Envelope::kEntryHello:
      return ReadBody(aFrom.entry_hello());
    case wire::Envelope::kConfigUpdate:
      return ReadBody(aFrom.config_update());
    case wire::Envelope::kConfigRequest:
      return ReadBody(aFrom.config_request());
    case wire::Envelope::kAnnounce:
      return ReadBody(aFrom.announce());
    case wire::Envelope::kReportBatch:
      return ReadBody(*aFrom.mutable_report_batch());
    case wire::Envelope::kFenceReply:
      return ReadBody(*aFrom.mutable_fence_reply());
    case wire::Envelope::kPeerHello:
      return ReadBody(aFrom.peer_hello());
    case wire::Envelope::kPeerLoad:
      return ReadBody(aFrom.peer_load());
    case wire::Envelope::kForwardJob:
      return ReadBody(*aFrom.mutable_forward_job());
    case wire::Envelope::kForwardResult:
      return ReadBody(*aFrom.mutable_forward_result());
    case wire::Envelope::kForwardCancel:
      return ReadBody(aFrom.forward_cancel());
    case wire::Envelope::kGreeting:
    case wire::Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace mulberrysail::protocol
