#include "runner.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::review3 {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kMalformed = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
/** Where the clock of a runner stands at its start. */
constexpr std::int64_t kFirstClockMs = 100000;
constexpr milliseconds kTick{ 5 };
constexpr milliseconds kPingTimeout{ 1000 };

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

Runner::Runner(RunnerOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
  , m_milliCores(m_options.m_milliCores)
  , m_bornUnixMs(UnixMs())
  , m_timer([this] { RunTimer(); })
  , m_server(m_options.m_address,
             m_options.m_port,
             [this](const HttpRequest& aRequest) { return Handle(aRequest); })
{
}

Runner::~Runner()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
  }
  m_timer.join();
  if (m_pings.joinable()) {
    m_pings.join();
  }
}

void
Runner::StartPings()
{
  m_pings = std::thread([this] { RunPings(); });
}

void
Runner::SetDraining()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = true;
  m_record.Add(m_options.m_id + " begins to drain");
}

void
Runner::SetMilliCores(std::uint32_t aMilliCores)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_milliCores = aMilliCores;
  m_record.Add(m_options.m_id + " has a capacity of " +
               std::to_string(aMilliCores) + " millicores from now on");
}

void
Runner::StartAgain()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_runs.empty()) {
      EndRun(m_runs.begin()->first, "crashed");
    }
    m_endedRuns.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_sequence = 0;
    m_leaseEnds = Instant();
    m_born = Now();
    m_bornUnixMs = UnixMs();
    m_pingNow = true;
    m_record.Add(m_options.m_id + " crashes and starts again under its id");
  }
  m_server.DropConnections();
}

void
Runner::SetCut(bool aCut)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_cut = aCut;
  m_record.Add("the path of " + m_options.m_id + " is " +
               (aCut ? "cut" : "whole again"));
  m_changed.notify_all();
}

std::vector<Begun>
Runner::BegunRuns() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_begun;
}

std::vector<AckedPing>
Runner::AckedPings() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_acked;
}

std::size_t
Runner::Running() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs.size();
}

std::int64_t
Runner::ClockMs() const
{
  return kFirstClockMs + MillisBetween(m_born, Now());
}

HttpResponse
Runner::Refuse(const std::string& aReason) const
{
  return { kConflict,
           json{ { "clock-ms", ClockMs() }, { "reason", aReason } }.dump() };
}

std::optional<HttpResponse>
Runner::Handle(const HttpRequest& aRequest)
{
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_cut) {
      m_changed.wait(lock, [this] { return !m_cut || m_stopped; });
      return std::nullopt;
    }
  }
  const auto expected = aRequest.m_fields.find("expect-instance");
  if (expected != aRequest.m_fields.end() &&
      expected->second != m_options.m_id) {
    return HttpResponse{ kMisdirected,
                         json{ { "clock-ms", ClockMs() } }.dump() };
  }
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return HttpResponse{ kMalformed, "{}" };
  }
  HttpResponse response{ kMalformed, "{}" };
  if (aRequest.m_path == "/run-start") {
    response = Start(body);
  } else if (aRequest.m_path == "/run-stop") {
    response = Stop(body);
  } else if (aRequest.m_path == "/hold") {
    response = Hold(body);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_cut ? std::nullopt : std::optional(response);
}

bool
Runner::IsFenced(const json& aBody)
{
  const std::uint64_t token = aBody.value("fencing-token", std::uint64_t{ 0 });
  if (token < m_fence) {
    return true;
  }
  m_fence = token;
  return false;
}

void
Runner::ExtendLease(const json& aBody)
{
  const std::int64_t left =
    aBody.value("deadline-ms", std::int64_t{ 0 }) - ClockMs();
  m_leaseEnds = std::max(
    m_leaseEnds, Now() + std::min(milliseconds(left), m_options.m_maxHold));
}

HttpResponse
Runner::Start(const json& aBody)
{
  const std::string task = aBody.value("task", "");
  const std::uint32_t number = aBody.value("run", 0U);
  const json spec = json::parse(aBody.value("spec", ""), nullptr, false);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  if (aBody.value("deadline-ms", std::int64_t{ 0 }) <= ClockMs()) {
    return Refuse("late");
  }
  ExtendLease(aBody);
  const auto run = m_runs.find(task);
  if (run != m_runs.end() && run->second.m_number == number) {
    return { kOk, json{ { "clock-ms", ClockMs() } }.dump() };
  }
  if (run != m_runs.end() || number <= m_endedRuns[task]) {
    return Refuse("old");
  }
  const milliseconds length(spec.is_object() ? spec.value("run_ms", 0) : 0);
  m_runs[task] = { number, Now() + length };
  m_begun.push_back({ task, number, Now(), std::nullopt });
  m_record.Add(m_options.m_id + " starts " + task + " run " +
               std::to_string(number));
  return { kOk, json{ { "clock-ms", ClockMs() } }.dump() };
}

void
Runner::EndRun(const std::string& aTask, const std::string& aHow)
{
  const std::uint32_t number = m_runs.at(aTask).m_number;
  m_runs.erase(aTask);
  m_endedRuns[aTask] = std::max(m_endedRuns[aTask], number);
  m_ends.push_back({ ++m_lastEnd, aTask, number, aHow });
  for (Begun& begun : m_begun) {
    if (begun.m_task == aTask && begun.m_run == number && !begun.m_endedAt) {
      begun.m_endedAt = Now();
    }
  }
  m_record.Add(m_options.m_id + " ends " + aTask + " run " +
               std::to_string(number) + ": " + aHow);
  m_changed.notify_all();
}

HttpResponse
Runner::Stop(const json& aBody)
{
  const std::string task = aBody.value("task", "");
  const std::uint32_t number = aBody.value("run", 0U);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  const auto run = m_runs.find(task);
  if (run != m_runs.end() && run->second.m_number == number) {
    EndRun(task, "stopped");
  }
  m_endedRuns[task] = std::max(m_endedRuns[task], number);
  return { kOk, json{ { "clock-ms", ClockMs() } }.dump() };
}

json
Runner::Lists() const
{
  constexpr std::size_t kMostEnds = 500;
  json running = json::array();
  for (const auto& [task, run] : m_runs) {
    running.push_back(json::array({ task, run.m_number, "", 0, 0 }));
  }
  json finished = json::array();
  for (const End& end : m_ends) {
    if (finished.size() < kMostEnds) {
      finished.push_back(
        json::array({ end.m_number, end.m_task, end.m_run, end.m_how, "" }));
    }
  }
  json lists = { { "clock-ms", ClockMs() },
                 { "running", running },
                 { "finished", finished } };
  if (m_options.m_statesBorn) {
    lists["born"] = m_bornUnixMs;
  }
  return lists;
}

HttpResponse
Runner::Hold(const json& aBody)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  const std::uint64_t acked = aBody.value("acked", std::uint64_t{ 0 });
  while (!m_ends.empty() && m_ends.front().m_number <= acked) {
    m_ends.pop_front();
  }
  if (aBody.contains("deadline-ms")) {
    ExtendLease(aBody);
  }
  const milliseconds wait(aBody.value("wait-ms", 0));
  m_changed.wait_for(
    lock, wait, [this] { return !m_ends.empty() || m_stopped; });
  return { kOk, Lists().dump() };
}

void
Runner::RunTimer()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopped) {
    m_changed.wait_for(lock, kTick);
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto& [task, run] : m_runs) {
      if (run.m_ends <= Now()) {
        ended.emplace_back(task, "done");
      } else if (m_leaseEnds <= Now()) {
        ended.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : ended) {
      EndRun(task, how);
    }
  }
}

void
Runner::RunPings()
{
  Instant next = Now();
  while (true) {
    bool cut = false;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    std::int64_t clock = 0;
    std::uint32_t cores = 0;
    std::string state;
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      if (m_stopped) {
        return;
      }
      if (m_pingNow) {
        m_pingNow = false;
        next = Now();
      }
      if (Now() >= next) {
        next += m_options.m_beat;
        born = m_bornUnixMs;
        clock = ClockMs();
        cores = m_milliCores;
        sequence = ++m_sequence;
        state = m_draining ? "draining" : "ready";
        cut = m_cut;
      }
      if (sequence != 0 && cut) {
        m_record.Add(m_options.m_id + " sends ping " +
                     std::to_string(sequence) + " (" + state +
                     ") into the cut");
        m_delayed.push_back({ sequence,
                              state,
                              Now(),
                              clock,
                              born,
                              m_milliCores,
                              Now() + m_options.m_firstRetransmission,
                              2 * m_options.m_firstRetransmission });
      }
    }
    if (sequence != 0 && !cut) {
      SendPing(sequence, state, clock, born, cores, "");
    }
    SendDelayed();
    std::this_thread::sleep_for(kTick);
  }
}

void
Runner::SendDelayed()
{
  std::vector<Delayed> arrived;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::deque<Delayed> waiting;
    for (Delayed& ping : m_delayed) {
      if (Now() < ping.m_next) {
        waiting.push_back(ping);
      } else if (m_cut) {
        ping.m_next += ping.m_pause;
        ping.m_pause *= 2;
        waiting.push_back(ping);
      } else {
        arrived.push_back(ping);
      }
    }
    m_delayed.swap(waiting);
  }
  for (const Delayed& ping : arrived) {
    SendPing(ping.m_sequence,
             ping.m_state,
             ping.m_clockMs,
             ping.m_bornUnixMs,
             ping.m_milliCores,
             ", sent " + std::to_string(MillisBetween(ping.m_sentAt, Now())) +
               " ms ago");
  }
}

void
Runner::SendPing(std::uint64_t aSequence,
                 const std::string& aState,
                 std::int64_t aClockMs,
                 std::int64_t aBornUnixMs,
                 std::uint32_t aMilliCores,
                 const std::string& aNote)
{
  json body = {
    { "service", m_options.m_service },
    { "address", m_options.m_address + ":" + std::to_string(m_options.m_port) },
    { "zone", m_options.m_zone },
    { "version", "v1" },
    { "slots", 8 },
    { "state", aState },
    { "cold-remaining-ms", 0 },
    { "capacity",
      { { "cpu", aMilliCores },
        { "mem-mb", m_options.m_memoryMb },
        { "gpu", 0 } } },
    { "labels", json::array({ "a", m_options.m_rack }) },
    { "clock-ms", aClockMs },
    { "sequence", aSequence },
  };
  if (m_options.m_statesBorn) {
    body["born"] = aBornUnixMs;
  }
  const std::optional<HttpResponse> response =
    Call(m_options.m_address,
         m_options.m_controlPort,
         "POST",
         "/Instances.Heartbeat/" + m_options.m_id,
         {},
         body.dump(),
         kPingTimeout);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_record.Add(
    m_options.m_id + " ping " + std::to_string(aSequence) + " (" + aState +
    ", " + std::to_string(aMilliCores) + " millicores" + aNote +
    "): " + (response ? std::to_string(response->m_status) : "no answer"));
  if (response && response->m_status == kOk) {
    m_acked.push_back({ aSequence, aState, Now() });
  }
}

} // namespace mulberrysail::review3
