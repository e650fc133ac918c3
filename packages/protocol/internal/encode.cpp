#include "protocol/codec.h"

#include <mulberrysail.pb.h>

#include <utility>

namespace mulberrysail::protocol {

namespace {

std::int64_t
ToWire(core::Duration aDuration)
{
  return aDuration.count();
}

std::int64_t
ToWire(core::Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

void
Write(const core::Resources& aFrom, wire::Resources& aTo)
{
  aTo.set_milli_cores(aFrom.m_milliCores);
  aTo.set_memory_mb(aFrom.m_memoryMb);
  aTo.set_accelerators(aFrom.m_accelerators);
}

void
Write(const core::CallerKey& aFrom, wire::CallerKey& aTo)
{
  aTo.set_key(aFrom.m_key);
  aTo.set_submission(aFrom.m_submission);
  aTo.set_claim(aFrom.m_claim);
}

/** @param aPrevious an offer whose payload is not written again if @p aFrom has
 * the same, as the tasks of a job mostly do; may be null. */
void
Write(const core::Offer& aFrom, const core::Offer* aPrevious, wire::Offer& aTo)
{
  aTo.set_attempt(aFrom.m_attempt.m_value);
  aTo.set_kind(static_cast<wire::WorkKind>(aFrom.m_kind));
  aTo.set_service(aFrom.m_service);
  aTo.set_team(aFrom.m_team);
  aTo.set_start_by(ToWire(aFrom.m_startBy));
  aTo.set_deadline(ToWire(aFrom.m_deadline));
  aTo.set_expected_run(ToWire(aFrom.m_expectedRun));
  Write(aFrom.m_need, *aTo.mutable_need());
  aTo.set_job(aFrom.m_job.m_value);
  if (aFrom.m_key) {
    Write(*aFrom.m_key, *aTo.mutable_key());
  }
  if (aPrevious != nullptr && !aFrom.m_payload.empty() &&
      aPrevious->m_payload == aFrom.m_payload) {
    aTo.set_same_payload(true);
  } else {
    aTo.set_payload(aFrom.m_payload);
  }
  if (!aFrom.m_name.empty()) {
    aTo.set_name(aFrom.m_name);
    aTo.set_start(aFrom.m_startNumber);
    aTo.set_required_label(aFrom.m_requiredLabel);
    aTo.set_turn(ToWire(aFrom.m_dispatchTime));
    aTo.set_queue(aFrom.m_queue);
  }
}

void
Write(const core::PriorityWork& aFrom, wire::PriorityWork& aTo)
{
  aTo.set_priority(aFrom.m_priority);
  aTo.set_core_time(ToWire(aFrom.m_coreTime));
}

void
Write(const core::Demand& aFrom, wire::Demand& aTo)
{
  aTo.set_milli_cores(aFrom.m_milliCores);
  aTo.set_earliest_dispatch(ToWire(aFrom.m_earliestDispatch));
  for (const core::PriorityWork& work : aFrom.m_work) {
    Write(work, *aTo.add_work());
  }
}

void
Write(const core::ZoneDrains& aFrom, wire::ZoneDrains& aTo)
{
  aTo.set_revision(aFrom.m_revision);
  for (const std::string& zone : aFrom.m_zones) {
    aTo.add_zones(zone);
  }
}

/** @param aPrevious the task whose payload need not be repeated; null if there
 * is none. */
void
Write(const core::TaskSpec& aFrom,
      const core::TaskSpec* aPrevious,
      wire::ForwardedTask& aTo)
{
  Write(aFrom.m_need, *aTo.mutable_need());
  if (aFrom.m_declaredRun) {
    aTo.set_declared_run(ToWire(*aFrom.m_declaredRun));
  }
  if (aPrevious != nullptr && aPrevious->m_payload == aFrom.m_payload) {
    aTo.set_same_payload(true);
  } else {
    aTo.set_payload(aFrom.m_payload);
  }
  aTo.set_name(aFrom.m_name);
  aTo.set_required_label(aFrom.m_requiredLabel);
  aTo.set_preferred_label(aFrom.m_preferredLabel);
  aTo.set_step(aFrom.m_step);
}

void
Write(const core::LoadReport& aFrom, wire::LoadReport& aTo)
{
  aTo.set_sequence(aFrom.m_sequence);
  aTo.set_agent_now(ToWire(aFrom.m_reportedAt));
  aTo.set_offers_seen(aFrom.m_lastOfferSequence);
  aTo.set_config(aFrom.m_config.m_value);
  aTo.set_newest_config(aFrom.m_newestConfig.m_value);
  aTo.set_free_slots(aFrom.m_freeSlots);
  aTo.set_queued_requests(aFrom.m_queuedRequests);
  aTo.set_queued_request_work(ToWire(aFrom.m_queuedRequestWork));
  Write(aFrom.m_freeCapacity, *aTo.mutable_free_room());
  aTo.set_queued_tasks(aFrom.m_queuedTasks);
  aTo.set_queued_task_work(ToWire(aFrom.m_queuedTaskWork));
  aTo.set_drains_digest(aFrom.m_drainsDigest);
  for (const core::PriorityWork& work : aFrom.m_demandOfOthers) {
    Write(work, *aTo.add_demand_of_others());
  }
}

void
Write(const core::EndpointInfo& aFrom, wire::EndpointInfo& aTo)
{
  aTo.set_service(aFrom.m_service);
  aTo.set_slots(aFrom.m_slots);
  aTo.set_connections(aFrom.m_connections);
  aTo.set_leaving(aFrom.m_leaving);
}

void
Write(const core::WorkerInfo& aFrom, wire::WorkerInfo& aTo)
{
  aTo.set_name(aFrom.m_name);
  aTo.set_rack(aFrom.m_rack);
  Write(aFrom.m_capacity, *aTo.mutable_capacity());
  aTo.set_quarantined(aFrom.m_quarantined);
  aTo.set_service(aFrom.m_service);
  for (const std::string& label : aFrom.m_labels) {
    aTo.add_labels(label);
  }
  aTo.set_warming_up(aFrom.m_warmingUp);
  aTo.set_failing(aFrom.m_failing);
}

void
Write(const core::AttemptReport& aFrom, wire::AttemptReport& aTo)
{
  aTo.set_attempt(aFrom.m_attempt.m_value);
  aTo.set_fate(static_cast<wire::AttemptFate>(aFrom.m_fate));
  aTo.set_error_kind(static_cast<std::uint32_t>(aFrom.m_kind));
  aTo.set_ran_for(ToWire(aFrom.m_ranFor));
  aTo.set_waited_for(ToWire(aFrom.m_waitedFor));
  aTo.set_output(aFrom.m_output);
  aTo.set_warming_up(aFrom.m_warmingUp);
}

void
Write(const core::DepartedAgent& aFrom, wire::DepartedAgent& aTo)
{
  aTo.set_name(aFrom.m_agent.m_name);
  aTo.set_incarnation(aFrom.m_agent.m_incarnation.m_value);
  aTo.set_service(aFrom.m_service);
  aTo.set_age(ToWire(aFrom.m_age));
  aTo.set_was_member_for(ToWire(aFrom.m_wasMemberFor));
}

void
Write(const core::WorkerCrash& aFrom, wire::WorkerCrash& aTo)
{
  aTo.set_number(aFrom.m_number);
  aTo.set_worker(aFrom.m_worker);
  aTo.set_detected_ago(ToWire(aFrom.m_detectedAgo));
  aTo.set_confirmed(aFrom.m_isConfirmed);
  for (const core::LostRun& run : aFrom.m_runs) {
    wire::LostRun& to = *aTo.add_runs();
    to.set_attempt(run.m_attempt.m_value);
    to.set_task(run.m_task);
    to.set_queue(run.m_queue);
    to.set_age(ToWire(run.m_age));
  }
}

/** A visitor that writes a message into the body of an envelope. */
class BodyWriter
{
public:
  explicit BodyWriter(wire::Envelope& aEnvelope)
    : m_envelope(aEnvelope)
  {
  }

  void operator()(const core::OfferBatch& aFrom) const
  {
    wire::OfferBatch& to = *m_envelope.mutable_offer_batch();
    to.set_agent_incarnation(aFrom.m_agentIncarnation.m_value);
    to.set_sequence(aFrom.m_sequence);
    const core::Offer* previous = nullptr;
    for (const core::Offer& offer : aFrom.m_offers) {
      Write(offer, previous, *to.add_offers());
      previous = aFrom.m_omitRepeatedPayloads ? &offer : nullptr;
    }
    to.set_subscribe_for(ToWire(aFrom.m_subscribeFor));
    if (aFrom.m_demand) {
      Write(*aFrom.m_demand, *to.mutable_demand());
    }
    if (aFrom.m_leaseGrantedAt) {
      to.set_lease_granted_at(ToWire(*aFrom.m_leaseGrantedAt));
    }
  }

  void operator()(const core::RevokeBatch& aFrom) const
  {
    wire::RevokeBatch& to = *m_envelope.mutable_revoke_batch();
    for (const core::AttemptId attempt : aFrom.m_attempts) {
      to.add_attempts(attempt.m_value);
    }
    to.set_stop_running(aFrom.m_stopRunning);
  }

  void operator()(const core::Reconcile& aFrom) const
  {
    wire::Reconcile& to = *m_envelope.mutable_reconcile();
    for (const core::AttemptId attempt : aFrom.m_attempts) {
      to.add_attempts(attempt.m_value);
    }
  }

  void operator()(const core::FenceQuery& aFrom) const
  {
    wire::FenceQuery& to = *m_envelope.mutable_fence_query();
    to.set_fence(aFrom.m_fence.m_value);
    to.set_service(aFrom.m_service);
    Write(aFrom.m_key, *to.mutable_key());
    to.set_remember_for(ToWire(aFrom.m_retainFor));
  }

  void operator()(const core::EntryHello& aFrom) const
  {
    wire::EntryHello& to = *m_envelope.mutable_entry_hello();
    to.set_config(aFrom.m_config.m_value);
    to.set_draining(aFrom.m_draining);
    to.set_subscribe_for(ToWire(aFrom.m_subscribeFor));
    to.set_keep_config(aFrom.m_keepConfig);
    to.set_shard(aFrom.m_shard);
    WriteDrains(aFrom.m_drains, to);
    if (aFrom.m_demand) {
      Write(*aFrom.m_demand, *to.mutable_demand());
    }
    if (aFrom.m_leaseGrantedAt) {
      to.set_lease_granted_at(ToWire(*aFrom.m_leaseGrantedAt));
    }
    to.set_use_failing_workers_for(ToWire(aFrom.m_useFailingWorkersFor));
  }

  void operator()(const core::ConfigUpdate& aFrom) const
  {
    wire::ConfigUpdate& to = *m_envelope.mutable_config_update();
    to.set_version(aFrom.m_version.m_value);
    to.set_document(aFrom.m_part);
    to.set_offset(aFrom.m_offset);
    to.set_size(aFrom.m_size);
    to.set_digest(aFrom.m_digest);
  }

  void operator()(const core::ConfigRequest& aFrom) const
  {
    wire::ConfigRequest& to = *m_envelope.mutable_config_request();
    to.set_known(aFrom.m_knownVersion.m_value);
    to.set_version(aFrom.m_version.m_value);
    to.set_digest(aFrom.m_digest);
    to.set_offset(aFrom.m_offset);
  }

  void operator()(const core::Announce& aFrom) const
  {
    wire::Announce& to = *m_envelope.mutable_announce();
    to.set_zone(aFrom.m_zone);
    to.set_http_address(aFrom.m_httpAddress);
    to.set_leaving(aFrom.m_leaving);
    to.set_lease_for(ToWire(aFrom.m_leaseFor));
    if (aFrom.m_endpoint) {
      Write(*aFrom.m_endpoint, *to.mutable_endpoint());
    }
    for (const core::WorkerInfo& worker : aFrom.m_workers) {
      Write(worker, *to.add_workers());
    }
    Write(aFrom.m_load, *to.mutable_load());
    to.set_reads_same_payload(aFrom.m_readsOmittedPayloads);
    WriteDrains(aFrom.m_drains, to);
    for (const core::WorkerCrash& crash : aFrom.m_crashes) {
      Write(crash, *to.add_crashes());
    }
  }

  void operator()(const core::ReportBatch& aFrom) const
  {
    wire::ReportBatch& to = *m_envelope.mutable_report_batch();
    for (const core::AttemptReport& report : aFrom.m_reports) {
      Write(report, *to.add_reports());
    }
    Write(aFrom.m_load, *to.mutable_load());
  }

  void operator()(const core::FenceReply& aFrom) const
  {
    wire::FenceReply& to = *m_envelope.mutable_fence_reply();
    to.set_fence(aFrom.m_fence.m_value);
    to.set_fate(static_cast<wire::AttemptFate>(aFrom.m_fate));
    to.set_error_kind(static_cast<std::uint32_t>(aFrom.m_kind));
    to.set_output(aFrom.m_output);
    to.set_remembers_for(ToWire(aFrom.m_recordsCover));
  }

  void operator()(const core::PeerHello& aFrom) const
  {
    wire::PeerHello& to = *m_envelope.mutable_peer_hello();
    to.set_config(aFrom.m_config.m_value);
    to.set_draining(aFrom.m_draining);
    to.set_remembers_for(ToWire(aFrom.m_recordsCover));
    for (const core::DepartedAgent& departed : aFrom.m_departed) {
      Write(departed, *to.add_departed());
    }
    WriteDrains(aFrom.m_drains, to);
  }

  void operator()(const core::PeerLoad& aFrom) const
  {
    wire::PeerLoad& to = *m_envelope.mutable_peer_load();
    to.set_allowed_milli_cores(aFrom.m_allowedMilliCores);
    to.set_used_percent(aFrom.m_usedPercent);
    to.set_draining(aFrom.m_draining);
    to.set_accepts_forwarded_jobs(aFrom.m_acceptsForwardedJobs);
  }

  void operator()(const core::ForwardJob& aFrom) const
  {
    wire::ForwardJob& to = *m_envelope.mutable_forward_job();
    to.set_forward(aFrom.m_forward.m_value);
    to.set_queue(aFrom.m_queue);
    to.set_team(aFrom.m_team);
    to.set_name(aFrom.m_name);
    to.set_deadline_in(ToWire(aFrom.m_deadlineIn));
    const core::TaskSpec* previous = nullptr;
    for (const core::TaskSpec& task : aFrom.m_tasks) {
      Write(task, previous, *to.add_tasks());
      previous = &task;
    }
    for (const core::StepSpec& step : aFrom.m_steps) {
      wire::ForwardedStep& written = *to.add_steps();
      for (const std::uint32_t prerequisite : step.m_prerequisites) {
        written.add_prerequisites(prerequisite);
      }
      written.set_max_per_worker(step.m_maxPerWorker);
    }
  }

  void operator()(const core::ForwardResult& aFrom) const
  {
    wire::ForwardResult& to = *m_envelope.mutable_forward_result();
    const core::Answer& answer = aFrom.m_answer;
    to.set_forward(aFrom.m_forward.m_value);
    to.set_error_kind(static_cast<std::uint32_t>(answer.m_kind));
    to.set_execution(static_cast<std::uint32_t>(answer.m_execution));
    to.set_detail(answer.m_detail);
    if (answer.m_retryAfter) {
      to.set_retry_after(ToWire(*answer.m_retryAfter));
    }
    to.set_ran_for(ToWire(answer.m_ranFor));
    for (const std::string& output : answer.m_outputs) {
      to.add_outputs(output);
    }
    to.set_submission(answer.m_submission.m_value);
  }

  void operator()(const core::ForwardCancel& aFrom) const
  {
    wire::ForwardCancel& to = *m_envelope.mutable_forward_cancel();
    for (const core::ForwardId forward : aFrom.m_forwards) {
      to.add_forwards(forward.m_value);
    }
  }

private:
  /** Writes the list into the field of @p aTo unless it was never read. */
  template<typename Body>
  static void WriteDrains(const core::ZoneDrains& aDrains, Body& aTo)
  {
    if (aDrains.m_revision != 0) {
      Write(aDrains, *aTo.mutable_drains());
    }
  }

  wire::Envelope& m_envelope;
};

wire::Envelope
MakeEnvelope(const EnvelopeHeader& aHeader)
{
  wire::Envelope envelope;
  envelope.set_sender_name(aHeader.m_sender.m_name);
  envelope.set_sender_incarnation(aHeader.m_sender.m_incarnation.m_value);
  envelope.set_stamp(aHeader.m_stamp);
  envelope.set_sent_us(
    static_cast<std::uint64_t>(aHeader.m_sentAt.time_since_epoch().count()));
  return envelope;
}

} // namespace

std::string
Encode(const EnvelopeHeader& aHeader,
       const core::Message& aMessage,
       core::Incarnation aRecipient)
{
  wire::Envelope envelope = MakeEnvelope(aHeader);
  envelope.set_recipient_incarnation(aRecipient.m_value);
  std::visit(BodyWriter(envelope), aMessage);
  return envelope.SerializeAsString();
}

std::string
EncodeGreeting(const EnvelopeHeader& aHeader, const Greeting& aGreeting)
{
  wire::Envelope envelope = MakeEnvelope(aHeader);
  envelope.mutable_greeting()->set_reply(aGreeting.m_reply);
  return envelope.SerializeAsString();
}

} // namespace mulberrysail::protocol
