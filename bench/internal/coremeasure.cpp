#include "bench/internal/coremeasure.h"

#include "core/iagent.h"
#include "core/ientry.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <chrono>
#include <deque>
#include <string>

namespace mulberrysail::bench {

namespace {

using namespace core;
using Clock = std::chrono::steady_clock;

constexpr const char* kService = "photo-check";
constexpr std::uint32_t kSlots = 8;
constexpr double kLoad = 0.7;
constexpr std::uint32_t kMostOpen = 4096;
constexpr Resources kWorkerSize{ 16000, 32768, 1 };
constexpr Resources kTaskSize{ 500, 128, 0 };

std::uint64_t
AllocatedBytes()
{
  return mallinfo2().uordblks;
}

double
MicrosSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(Clock::now() - aStart)
    .count();
}

ProcessId
AgentId(std::uint32_t aIndex)
{
  return { "agent-" + std::to_string(aIndex), { 1 } };
}

Announce
AnnounceOf(std::uint32_t aIndex, bool aWorker)
{
  Announce announce;
  announce.m_zone = "zone-" + std::to_string(aIndex % 3);
  announce.m_httpAddress = "http://127.0.0.1:80";
  announce.m_leaseFor = std::chrono::hours(1);
  announce.m_load.m_sequence = 1;
  announce.m_load.m_freeSlots = kSlots;
  if (aWorker) {
    announce.m_workers.push_back(
      { "worker-" + std::to_string(aIndex), "rack", kWorkerSize, false });
    announce.m_load.m_freeCapacity = kWorkerSize;
  } else {
    announce.m_endpoint = EndpointInfo{ kService, kSlots, 64, false };
  }
  return announce;
}

std::string
ConfigText(std::uint32_t aTeams)
{
  nlohmann::json document;
  document["services"][kService] = nlohmann::json::object();
  for (std::uint32_t i = 0; i < aTeams; ++i) {
    document["teams"]["team-" + std::to_string(i)] = { { "weight", 1 },
                                                       { "max_open", 0 } };
  }
  return document.dump();
}

/** An entry core with its agents, each of which reports as the real one
 * would. */
class EntryBench
{
public:
  EntryBench(std::uint32_t aAgents, bool aWorkers)
    : m_entry(MakeEntry({ "entry-1", { 1 } }, 0, EntryPolicy{}, 1))
    , m_free(aAgents, kSlots)
    , m_room(aAgents, kWorkerSize)
    , m_sequence(aAgents, 1)
    , m_seen(aAgents, 0)
  {
    const std::string text = ConfigText(1);
    Give(ConfigChanged{ ParseConfiguration({ 1 }, text).value(), text });
    const std::uint64_t before = AllocatedBytes();
    for (std::uint32_t i = 0; i < aAgents; ++i) {
      Announce announce = AnnounceOf(i, aWorkers);
      announce.m_load.m_config = { 1 };
      Give(MessageReceived{ AgentId(i), std::move(announce) });
    }
    m_bytesAnAgent = static_cast<double>(AllocatedBytes() - before) / aAgents;
  }

  double BytesAnAgent() const { return m_bytesAnAgent; }

  std::size_t Open() const { return m_offers.size(); }

  void Submit(EntryEvent aEvent)
  {
    Give(std::move(aEvent));
    for (EntryCommand& command : m_commands) {
      TakeOffers(command);
    }
  }

  /** Answers the oldest open offer. */
  void FinishOldest()
  {
    const auto [agent, offer] = std::move(m_offers.front());
    m_offers.pop_front();
    ++m_free[agent];
    m_room[agent].m_milliCores += offer.m_need.m_milliCores;
    m_room[agent].m_memoryMb += offer.m_need.m_memoryMb;
    ReportBatch batch;
    AttemptReport report;
    report.m_attempt = offer.m_attempt;
    report.m_fate = AttemptFate::Completed;
    report.m_ranFor = std::chrono::milliseconds(300);
    batch.m_reports.push_back(report);
    batch.m_load.m_sequence = ++m_sequence[agent];
    batch.m_load.m_lastOfferSequence = m_seen[agent];
    batch.m_load.m_config = { 1 };
    batch.m_load.m_freeSlots = m_free[agent];
    batch.m_load.m_freeCapacity = m_room[agent];
    Submit(MessageReceived{ AgentId(agent), std::move(batch) });
  }

private:
  void Give(EntryEvent aEvent)
  {
    m_commands.clear();
    m_now += Duration(100);
    m_entry->Handle(m_now, std::move(aEvent), m_commands);
  }

  void TakeOffers(EntryCommand& aCommand)
  {
    SendMessage* send = std::get_if<SendMessage>(&aCommand);
    OfferBatch* batch =
      send == nullptr ? nullptr : std::get_if<OfferBatch>(&send->m_message);
    if (batch == nullptr) {
      return;
    }
    const std::uint32_t agent = static_cast<std::uint32_t>(
      std::stoul(send->m_to.m_name.substr(sizeof("agent-") - 1)));
    m_seen[agent] = batch->m_sequence;
    for (Offer& offer : batch->m_offers) {
      m_free[agent] -= m_free[agent] > 0 ? 1 : 0;
      m_room[agent].m_milliCores -= offer.m_need.m_milliCores;
      m_room[agent].m_memoryMb -= offer.m_need.m_memoryMb;
      m_offers.emplace_back(agent, std::move(offer));
    }
  }

  std::unique_ptr<IEntry> m_entry;
  EntryCommands m_commands;
  Instant m_now{ std::chrono::seconds(1) };
  std::vector<std::uint32_t> m_free;
  std::vector<Resources> m_room;
  std::vector<std::uint64_t> m_sequence;
  std::vector<std::uint64_t> m_seen;
  std::deque<std::pair<std::uint32_t, Offer>> m_offers;
  double m_bytesAnAgent = 0;
};

SubmitRequest
RequestOf(std::uint64_t aToken)
{
  SubmitRequest request;
  request.m_caller = { aToken };
  request.m_service = kService;
  request.m_team = "team-0";
  request.m_payload = std::string(200, 'x');
  return request;
}

SubmitJob
JobOf(std::uint64_t aToken, std::uint32_t aTasks)
{
  SubmitJob job;
  job.m_caller = { aToken };
  job.m_service = kService;
  job.m_team = "team-0";
  TaskSpec task;
  task.m_need = kTaskSize;
  task.m_payload = std::string(200, 'x');
  job.m_tasks.assign(aTasks, task);
  return job;
}

} // namespace

nlohmann::json
MeasureEntryRequests(std::uint32_t aAgents, std::uint32_t aRequests)
{
  EntryBench bench(aAgents, false);
  const std::size_t open = std::min<std::size_t>(
    static_cast<std::size_t>(kLoad * kSlots * aAgents), kMostOpen);
  const Clock::time_point start = Clock::now();
  for (std::uint32_t i = 0; i < aRequests; ++i) {
    bench.Submit(RequestOf(i + 1));
    while (bench.Open() > open) {
      bench.FinishOldest();
    }
  }
  return { { "agents", aAgents },
           { "requests", aRequests },
           { "us_a_request", MicrosSince(start) / aRequests },
           { "bytes_an_agent", bench.BytesAnAgent() } };
}

nlohmann::json
MeasureEntryJobs(std::uint32_t aAgents,
                 std::uint32_t aTasks,
                 std::uint32_t aJobs)
{
  EntryBench bench(aAgents, true);
  const std::size_t open = std::min<std::size_t>(
    static_cast<std::size_t>(kLoad * 32 * aAgents), kMostOpen);
  const Clock::time_point start = Clock::now();
  for (std::uint32_t i = 0; i < aJobs; ++i) {
    bench.Submit(JobOf(i + 1, aTasks));
    while (bench.Open() > open) {
      bench.FinishOldest();
    }
  }
  return { { "agents", aAgents },
           { "tasks_a_job", aTasks },
           { "us_a_task", MicrosSince(start) / aJobs / aTasks },
           { "bytes_an_agent", bench.BytesAnAgent() } };
}

nlohmann::json
MeasureConfiguration(std::uint32_t aTeams)
{
  const std::string text = ConfigText(aTeams);
  const std::uint64_t before = AllocatedBytes();
  const Clock::time_point start = Clock::now();
  const Result<Configuration> parsed = ParseConfiguration({ 1 }, text);
  const double micros = MicrosSince(start);
  return { { "teams", aTeams },
           { "document_bytes", text.size() },
           { "us_to_read", micros },
           { "bytes_held", AllocatedBytes() - before },
           { "valid", parsed.has_value() } };
}

nlohmann::json
MeasureAgent(std::uint32_t aEntries, std::uint32_t aRequests)
{
  const std::uint64_t before = AllocatedBytes();
  const std::unique_ptr<IAgent> agent = MakeAgent(AgentId(0), AgentPolicy{}, 1);
  Instant now{ std::chrono::seconds(1) };
  AgentCommands commands;
  agent->Handle(
    now,
    EndpointAnnounced{ { kService, kSlots, 64, false }, "http://127.0.0.1:1" },
    commands);
  for (std::uint32_t i = 0; i < aEntries; ++i) {
    agent->Handle(
      now, LinkReset{ { "entry-" + std::to_string(i), { 1 } } }, commands);
  }
  std::uint64_t messages = 0;
  const Clock::time_point start = Clock::now();
  for (std::uint32_t i = 0; i < aRequests; ++i) {
    now += std::chrono::milliseconds(50);
    OfferBatch batch;
    batch.m_agentIncarnation = { 1 };
    batch.m_sequence = i / aEntries + 1;
    Offer offer;
    offer.m_attempt = { i + 1 };
    offer.m_service = kService;
    offer.m_startBy = now + std::chrono::seconds(5);
    offer.m_deadline = now + std::chrono::seconds(10);
    offer.m_expectedRun = std::chrono::milliseconds(300);
    offer.m_payload = std::string(200, 'x');
    batch.m_offers.push_back(std::move(offer));
    commands.clear();
    agent->Handle(now,
                  EndpointAnnounced{ { kService, kSlots, 64, false },
                                     "http://127.0.0.1:1" },
                  commands);
    agent->Handle(
      now,
      MessageReceived{ { "entry-" + std::to_string(i % aEntries), { 1 } },
                       std::move(batch) },
      commands);
    std::optional<RunId> run;
    for (const AgentCommand& command : commands) {
      if (const StartRun* started = std::get_if<StartRun>(&command)) {
        run = started->m_run;
      }
    }
    if (run) {
      agent->Handle(now + std::chrono::milliseconds(40),
                    RunFinished{ *run, RunOutcome::Completed, "done" },
                    commands);
    }
    for (const AgentCommand& command : commands) {
      messages += std::holds_alternative<SendMessage>(command) ? 1 : 0;
    }
  }
  return { { "entries", aEntries },
           { "us_a_request", MicrosSince(start) / aRequests },
           { "messages_a_request", static_cast<double>(messages) / aRequests },
           { "bytes_held", AllocatedBytes() - before },
           { "completed", agent->Counters().m_completed } };
}

} // namespace mulberrysail::bench
