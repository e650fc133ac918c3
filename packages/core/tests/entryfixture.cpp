#include "core/tests/entryfixture.h"

namespace mulberrysail::core {

namespace {

constexpr const char* kDocument = R"({
  "services": {"photo": {"expected_run_ms": 300,
                         "default_deadline_ms": 10000}},
  "teams": {"a": {"weight": 1, "max_open": 9}, "b": {"weight": 1}}
})";

} // namespace

EntryFixture::EntryFixture(EntryPolicy aPolicy)
  : m_entry(MakeEntry({ "entry1", { 3 } }, 0, std::move(aPolicy), 1))
{
  HandleEvent(
    ConfigChanged{ ParseConfiguration({ 1 }, kDocument).value(), kDocument });
}

void
EntryFixture::HandleEvent(EntryEvent aEvent)
{
  m_entry->Handle(m_now, std::move(aEvent), m_commands);
}

void
EntryFixture::Receive(const ProcessId& aFrom, Message aMessage)
{
  HandleEvent(MessageReceived{ aFrom, std::move(aMessage) });
}

void
EntryFixture::Advance(Duration aBy)
{
  const Instant end = m_now + aBy;
  while (m_entry->NextWake() <= end) {
    m_now = std::max(m_now, m_entry->NextWake());
    HandleEvent(TimerFired{});
  }
  m_now = end;
}

Announce
EntryFixture::BaseAnnounce()
{
  Announce announce;
  announce.m_leaseFor = std::chrono::hours(1);
  announce.m_load.m_sequence = ++m_loadSequence;
  announce.m_load.m_reportedAt = m_now;
  announce.m_load.m_config = { 1 };
  announce.m_load.m_newestConfig = { 1 };
  return announce;
}

ProcessId
EntryFixture::AddAgent(const std::string& aName, std::uint32_t aSlots)
{
  ProcessId id{ aName, { 1 } };
  Announce announce = BaseAnnounce();
  announce.m_endpoint = EndpointInfo{ "photo", aSlots, 64, false };
  announce.m_load.m_freeSlots = aSlots;
  Receive(id, std::move(announce));
  return id;
}

ProcessId
EntryFixture::AddWorkerAgent(const std::string& aName, Resources aCapacity)
{
  ProcessId id{ aName, { 1 } };
  Announce announce = BaseAnnounce();
  announce.m_workers.push_back({ aName + "-w", "rack", aCapacity, false });
  announce.m_load.m_freeCapacity = aCapacity;
  Receive(id, std::move(announce));
  return id;
}

CallerToken
EntryFixture::SubmitRequest(Duration aRun, const std::string& aTeam)
{
  core::SubmitRequest request;
  request.m_caller = { m_nextCaller++ };
  request.m_service = "photo";
  request.m_team = aTeam;
  request.m_declaredRun = aRun;
  request.m_payload = "payload " + std::to_string(request.m_caller.m_value);
  const CallerToken caller = request.m_caller;
  HandleEvent(std::move(request));
  return caller;
}

CallerToken
EntryFixture::SubmitKeyedRequest(const std::string& aKey,
                                 std::uint32_t aSubmission)
{
  core::SubmitRequest request;
  request.m_caller = { m_nextCaller++ };
  request.m_service = "photo";
  request.m_team = "b";
  request.m_key = CallerKey{ aKey, aSubmission, 0 };
  const CallerToken caller = request.m_caller;
  HandleEvent(std::move(request));
  return caller;
}

void
EntryFixture::Report(const ProcessId& aAgent,
                     AttemptId aAttempt,
                     AttemptFate aFate,
                     std::uint32_t aFreeSlots,
                     ErrorKind aKind)
{
  for (const auto& [agent, batch] : Sent<OfferBatch>()) {
    m_lastOffersSeen = std::max(m_lastOffersSeen, batch.m_sequence);
  }
  ReportBatch batch;
  AttemptReport report;
  report.m_attempt = aAttempt;
  report.m_fate = aFate;
  report.m_kind = aKind;
  report.m_ranFor = std::chrono::milliseconds(100);
  report.m_output = "output";
  batch.m_reports.push_back(std::move(report));
  batch.m_load.m_sequence = ++m_loadSequence;
  batch.m_load.m_reportedAt = m_now;
  batch.m_load.m_config = { 1 };
  batch.m_load.m_newestConfig = { 1 };
  batch.m_load.m_lastOfferSequence = m_lastOffersSeen;
  batch.m_load.m_freeSlots = aFreeSlots;
  Receive(aAgent, std::move(batch));
}

std::vector<EntryFixture::SentOffer>
EntryFixture::Offers() const
{
  std::vector<SentOffer> offers;
  for (const auto& [agent, batch] : Sent<OfferBatch>()) {
    for (const Offer& offer : batch.m_offers) {
      offers.push_back({ agent, offer });
    }
  }
  return offers;
}

std::optional<Answer>
EntryFixture::AnswerTo(CallerToken aCaller) const
{
  std::optional<Answer> answer;
  for (const EntryCommand& command : m_commands) {
    const AnswerCaller* given = std::get_if<AnswerCaller>(&command);
    if (given != nullptr && given->m_caller == aCaller) {
      answer = given->m_answer;
    }
  }
  return answer;
}

} // namespace mulberrysail::core
