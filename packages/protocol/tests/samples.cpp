#include "protocol/tests/samples.h"

#include <algorithm>
#include <tuple>

namespace mulberrysail::protocol {

namespace {

using namespace std::chrono_literals;

core::Instant
At(core::Duration aSinceStart)
{
  return core::Instant(aSinceStart);
}

core::LoadReport
SampleLoad()
{
  return { 7,  At(3s), 21, { 4 },        5, 6, 900ms, { 1500, 64, 1 }, 8,
           4s, { 6 },  99, { { 2, 3s } } };
}

core::Demand
SampleDemand()
{
  return { 9400, At(6s), { { 0, 2s }, { 2, 5s } } };
}

core::ZoneDrains
SampleDrains()
{
  return { 300, { "cavite-d", "manila-1" } };
}

core::TaskSpec
SampleTask(std::string aName)
{
  return { { 500, 128, 2 },
           300ms,
           std::string("\0payload\xff", 9),
           std::move(aName),
           "kind-a",
           "r1",
           1 };
}

core::Offer
SampleOffer()
{
  return { { 11 },
           core::WorkKind::Task,
           "stock-check",
           "tala",
           At(5s),
           core::kNever,
           300ms,
           { 500, 128, 2 },
           { 1ULL << 54U },
           core::CallerKey{ "slip-7", 2, 5 },
           std::string("\0payload\xff", 9),
           "5c0e.0.1.17",
           2,
           "kind-a",
           core::Instant(core::Duration(77)),
           "checks" };
}

core::Announce
SampleAnnounce()
{
  return {
    "manila-1",
    "http://127.0.0.1:9000",
    true,
    6s,
    core::EndpointInfo{ "stock-check", 8, 64, true },
    { { "w1", "r1", { 16000, 32768, 1 }, true, "stock", { "a" }, true } },
    SampleLoad(),
    true,
    SampleDrains(),
    { { 3,
        "w1",
        40ms,
        { { { 11 }, "5c0e.0.1.17", "checks", 9ms }, { { 12 }, "", "", 2s } },
        true } }
  };
}

auto
Fields(const core::LoadReport& aLoad)
{
  return std::tie(aLoad.m_sequence,
                  aLoad.m_reportedAt,
                  aLoad.m_lastOfferSequence,
                  aLoad.m_config,
                  aLoad.m_newestConfig,
                  aLoad.m_freeSlots,
                  aLoad.m_queuedRequests,
                  aLoad.m_queuedRequestWork,
                  aLoad.m_freeCapacity,
                  aLoad.m_queuedTasks,
                  aLoad.m_queuedTaskWork,
                  aLoad.m_drainsDigest,
                  aLoad.m_demandOfOthers);
}

auto
Fields(const core::Offer& aOffer)
{
  return std::tie(aOffer.m_attempt,
                  aOffer.m_kind,
                  aOffer.m_service,
                  aOffer.m_team,
                  aOffer.m_startBy,
                  aOffer.m_deadline,
                  aOffer.m_expectedRun,
                  aOffer.m_need,
                  aOffer.m_job,
                  aOffer.m_key,
                  aOffer.m_payload,
                  aOffer.m_name,
                  aOffer.m_startNumber,
                  aOffer.m_requiredLabel,
                  aOffer.m_dispatchTime,
                  aOffer.m_queue);
}

auto
Fields(const core::AttemptReport& aReport)
{
  return std::tie(aReport.m_attempt,
                  aReport.m_fate,
                  aReport.m_kind,
                  aReport.m_ranFor,
                  aReport.m_waitedFor,
                  aReport.m_output,
                  aReport.m_warmingUp);
}

auto
Fields(const core::DepartedAgent& aDeparted)
{
  return std::tie(aDeparted.m_agent,
                  aDeparted.m_service,
                  aDeparted.m_age,
                  aDeparted.m_wasMemberFor);
}

auto
Fields(const core::TaskSpec& aTask)
{
  return std::tie(aTask.m_need,
                  aTask.m_declaredRun,
                  aTask.m_payload,
                  aTask.m_name,
                  aTask.m_requiredLabel,
                  aTask.m_preferredLabel,
                  aTask.m_step);
}

auto
Fields(const core::StepSpec& aStep)
{
  return std::tie(aStep.m_prerequisites, aStep.m_maxPerWorker);
}

template<typename T>
bool
SameList(const std::vector<T>& aLeft, const std::vector<T>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const T& aOne, const T& aOther) {
                      return Fields(aOne) == Fields(aOther);
                    });
}

bool
Same(const core::OfferBatch& aLeft, const core::OfferBatch& aRight)
{
  return aLeft.m_agentIncarnation == aRight.m_agentIncarnation &&
         aLeft.m_sequence == aRight.m_sequence &&
         SameList(aLeft.m_offers, aRight.m_offers) &&
         aLeft.m_subscribeFor == aRight.m_subscribeFor &&
         aLeft.m_demand == aRight.m_demand &&
         aLeft.m_leaseGrantedAt == aRight.m_leaseGrantedAt;
}

bool
Same(const core::RevokeBatch& aLeft, const core::RevokeBatch& aRight)
{
  return aLeft.m_attempts == aRight.m_attempts &&
         aLeft.m_stopRunning == aRight.m_stopRunning;
}

bool
Same(const core::Reconcile& aLeft, const core::Reconcile& aRight)
{
  return aLeft.m_attempts == aRight.m_attempts;
}

bool
Same(const core::FenceQuery& aLeft, const core::FenceQuery& aRight)
{
  return aLeft.m_fence == aRight.m_fence &&
         aLeft.m_service == aRight.m_service && aLeft.m_key == aRight.m_key &&
         aLeft.m_retainFor == aRight.m_retainFor;
}

bool
Same(const core::EntryHello& aLeft, const core::EntryHello& aRight)
{
  return aLeft.m_config == aRight.m_config &&
         aLeft.m_draining == aRight.m_draining &&
         aLeft.m_subscribeFor == aRight.m_subscribeFor &&
         aLeft.m_keepConfig == aRight.m_keepConfig &&
         aLeft.m_shard == aRight.m_shard && aLeft.m_drains == aRight.m_drains &&
         aLeft.m_demand == aRight.m_demand &&
         aLeft.m_leaseGrantedAt == aRight.m_leaseGrantedAt &&
         aLeft.m_useFailingWorkersFor == aRight.m_useFailingWorkersFor;
}

bool
Same(const core::ConfigUpdate& aLeft, const core::ConfigUpdate& aRight)
{
  return aLeft.m_version == aRight.m_version && aLeft.m_part == aRight.m_part &&
         aLeft.m_offset == aRight.m_offset && aLeft.m_size == aRight.m_size &&
         aLeft.m_digest == aRight.m_digest;
}

bool
Same(const core::ConfigRequest& aLeft, const core::ConfigRequest& aRight)
{
  return aLeft.m_knownVersion == aRight.m_knownVersion &&
         aLeft.m_version == aRight.m_version &&
         aLeft.m_digest == aRight.m_digest && aLeft.m_offset == aRight.m_offset;
}

bool
Same(const core::Announce& aLeft, const core::Announce& aRight)
{
  return aLeft.m_zone == aRight.m_zone &&
         aLeft.m_httpAddress == aRight.m_httpAddress &&
         aLeft.m_leaving == aRight.m_leaving &&
         aLeft.m_leaseFor == aRight.m_leaseFor &&
         aLeft.m_endpoint == aRight.m_endpoint &&
         aLeft.m_workers == aRight.m_workers &&
         Fields(aLeft.m_load) == Fields(aRight.m_load) &&
         aLeft.m_readsOmittedPayloads == aRight.m_readsOmittedPayloads &&
         aLeft.m_drains == aRight.m_drains &&
         aLeft.m_crashes == aRight.m_crashes;
}

bool
Same(const core::ReportBatch& aLeft, const core::ReportBatch& aRight)
{
  return SameList(aLeft.m_reports, aRight.m_reports) &&
         Fields(aLeft.m_load) == Fields(aRight.m_load);
}

bool
Same(const core::FenceReply& aLeft, const core::FenceReply& aRight)
{
  return aLeft.m_fence == aRight.m_fence && aLeft.m_fate == aRight.m_fate &&
         aLeft.m_kind == aRight.m_kind && aLeft.m_output == aRight.m_output &&
         aLeft.m_recordsCover == aRight.m_recordsCover;
}

bool
Same(const core::PeerHello& aLeft, const core::PeerHello& aRight)
{
  return aLeft.m_config == aRight.m_config &&
         aLeft.m_draining == aRight.m_draining &&
         aLeft.m_recordsCover == aRight.m_recordsCover &&
         SameList(aLeft.m_departed, aRight.m_departed) &&
         aLeft.m_drains == aRight.m_drains;
}

bool
Same(const core::PeerLoad& aLeft, const core::PeerLoad& aRight)
{
  return aLeft.m_allowedMilliCores == aRight.m_allowedMilliCores &&
         aLeft.m_usedPercent == aRight.m_usedPercent &&
         aLeft.m_draining == aRight.m_draining &&
         aLeft.m_acceptsForwardedJobs == aRight.m_acceptsForwardedJobs;
}

bool
Same(const core::ForwardJob& aLeft, const core::ForwardJob& aRight)
{
  return aLeft.m_forward == aRight.m_forward &&
         aLeft.m_queue == aRight.m_queue && aLeft.m_team == aRight.m_team &&
         aLeft.m_name == aRight.m_name &&
         aLeft.m_deadlineIn == aRight.m_deadlineIn &&
         SameList(aLeft.m_tasks, aRight.m_tasks) &&
         SameList(aLeft.m_steps, aRight.m_steps);
}

bool
Same(const core::ForwardResult& aLeft, const core::ForwardResult& aRight)
{
  const core::Answer& left = aLeft.m_answer;
  const core::Answer& right = aRight.m_answer;
  return aLeft.m_forward == aRight.m_forward &&
         left.m_submission == right.m_submission &&
         left.m_kind == right.m_kind && left.m_execution == right.m_execution &&
         left.m_detail == right.m_detail &&
         left.m_retryAfter == right.m_retryAfter &&
         left.m_outputs == right.m_outputs && left.m_ranFor == right.m_ranFor;
}

bool
Same(const core::ForwardCancel& aLeft, const core::ForwardCancel& aRight)
{
  return aLeft.m_forwards == aRight.m_forwards;
}

} // namespace

std::vector<core::Message>
SampleMessages()
{
  return {
    core::OfferBatch{ { 9 },
                      21,
                      { SampleOffer() },
                      2s,
                      SampleDemand(),
                      false,
                      core::Instant(70s) },
    core::RevokeBatch{ { { 11 }, { 12 } }, true },
    core::Reconcile{ { { 11 } } },
    core::FenceQuery{ { 3 }, "stock-check", { "slip-7", 2, 5 }, 10min },
    core::EntryHello{ { 4 },
                      true,
                      2s,
                      true,
                      3,
                      SampleDrains(),
                      SampleDemand(),
                      core::Instant(70s),
                      3s },
    core::ConfigUpdate{ { 5 }, "{}", 8, 10, 77 },
    core::ConfigRequest{ { 4 }, { 5 }, 77, 8 },
    SampleAnnounce(),
    core::ReportBatch{ { { { 11 },
                           core::AttemptFate::Lost,
                           core::ErrorKind::RunLost,
                           120ms,
                           40ms,
                           "output",
                           true } },
                       SampleLoad() },
    core::FenceReply{ { 3 },
                      core::AttemptFate::Failed,
                      core::ErrorKind::TaskFailed,
                      "output",
                      10min },
    core::PeerHello{ { 4 },
                     true,
                     10min,
                     { { { "a1", { 2 } }, "stock-check", 5s, 1min } },
                     SampleDrains() },
    core::PeerLoad{ 120, 85, true, true },
    core::ForwardJob{ { 8 },
                      "checks",
                      "tala",
                      "5c0e",
                      1200ms,
                      { SampleTask("5c0e.0.0.0"), SampleTask("5c0e.0.0.1") },
                      { { {}, 0 }, { { 0 }, 2 } } },
    core::ForwardResult{ { 8 },
                         { { 4 },
                           core::ErrorKind::Overloaded,
                           core::Execution::NotRun,
                           "detail",
                           700ms,
                           { "output" },
                           120ms } },
    core::ForwardCancel{ { { 8 }, { 9 } } },
  };
}

bool
SameMessage(const core::Message& aLeft, const core::Message& aRight)
{
  return std::visit(
    [&](const auto& aMessage) {
      using Body = std::decay_t<decltype(aMessage)>;
      const Body* other = std::get_if<Body>(&aRight);
      return other != nullptr && Same(aMessage, *other);
    },
    aLeft);
}

} // namespace mulberrysail::protocol
