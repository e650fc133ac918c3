#include "runner.h"

#include <algorithm>

namespace mulberrysail::review {

namespace {

using nlohmann::json;

constexpr Milliseconds kTick{ 2 };
constexpr Milliseconds kPingTimeout{ 1000 };
constexpr std::int64_t kClockStartMs = 480000;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

} // namespace

Runner::Runner(RunnerOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
  , m_id("i-" + m_options.m_name)
  , m_bornAt(Clock::now())
{
  m_bornMs = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  m_server = std::make_unique<HttpServer>(
    m_options.m_ip, m_options.m_port, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  m_ticker = std::thread([this] { Tick(); });
  m_pinger = std::thread([this] { PingLoop(); });
}

Runner::~Runner()
{
  m_stopped = true;
  m_ticker.join();
  m_pinger.join();
  m_endedOne.notify_all();
  m_server.reset();
}

void
Runner::SetCut(bool aCut)
{
  m_server->SetCut(aCut);
  m_record.Add(m_options.m_name + (aCut ? " is cut off" : " is reached again"));
}

void
Runner::Restart(const std::string& aId, std::vector<std::string> aLabels)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_working.empty()) {
      Finish(m_working.begin()->first, "crashed");
    }
    m_id = aId;
    m_options.m_labels = std::move(aLabels);
    m_bornMs += static_cast<std::uint64_t>(std::max<std::int64_t>(
      1,
      std::chrono::duration_cast<Milliseconds>(Clock::now() - m_bornAt)
        .count()));
    m_bornAt = Clock::now();
    m_sequence = 0;
    m_token = 0;
    m_leaseEndsMs = 0;
    m_lastEnd = 0;
    m_highestEnded.clear();
    m_ends.clear();
    m_record.Add(m_options.m_name + " has crashed and started again as " +
                 m_id + ", labels " + json(m_options.m_labels).dump());
  }
  m_server->CloseConnections();
}

void
Runner::OnBegin(std::function<void(const Run&)> aHook)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_onBegin = std::move(aHook);
}

std::string
Runner::Id()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_id;
}

std::uint64_t
Runner::BornMs()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_bornMs;
}

std::vector<Run>
Runner::Runs()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

std::size_t
Runner::Working()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_working.size();
}

std::optional<Response>
Runner::Handle(const Request& aRequest)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const json body = json::parse(aRequest.m_body, nullptr, false);
  const auto expected = aRequest.m_headers.find("expect-instance");
  if (expected != aRequest.m_headers.end() && expected->second != m_id) {
    return Reply(json::object(), kMisdirected);
  }
  if (!body.is_object()) {
    return Reply(json::object(), 400);
  }
  const std::uint64_t token = body.value("fencing-token", std::uint64_t{ 0 });
  if (token < m_token) {
    return Reply({ { "reason", "fence" } }, kConflict);
  }
  m_token = token;
  if (aRequest.m_path == "/run-start") {
    return Start(body);
  }
  if (aRequest.m_path == "/run-stop") {
    return Stop(body);
  }
  if (aRequest.m_path == "/hold") {
    return Hold(lock, body);
  }
  return Reply(json::object(), 404);
}

Response
Runner::Start(const json& aBody)
{
  Renew(aBody);
  const Key key{ aBody.at("task").get<std::string>(),
                 aBody.at("run").get<std::uint32_t>() };
  const std::string name = key.first + "#" + std::to_string(key.second);
  if (m_working.contains(key)) {
    return Reply(json::object());
  }
  const auto ended = m_highestEnded.find(key.first);
  if (ended != m_highestEnded.end() && key.second <= ended->second) {
    m_record.Add(m_options.m_name + " rejects " + name + " as old");
    return Reply({ { "reason", "old" } }, kConflict);
  }
  if (aBody.value("deadline-ms", std::int64_t{ 0 }) <= ClockMs()) {
    m_record.Add(m_options.m_name + " rejects " + name + " as late");
    return Reply({ { "reason", "late" } }, kConflict);
  }
  json spec =
    json::parse(aBody.value("spec", std::string("{}")), nullptr, false);
  if (!spec.is_object() || !spec.value("work-ms", json(0)).is_number()) {
    spec = json::object();
  }
  const Milliseconds work(spec.is_object() ? spec.value("work-ms", 50) : 50);
  Run run{ m_options.m_name,
           key.first,
           key.second,
           spec.is_object() ? spec.value("cpu", 0U) : 0U,
           m_options.m_labels,
           m_record.NowMs(),
           -1,
           "" };
  m_record.Add(m_options.m_name + " begins " + name + ", works for " +
               std::to_string(work.count()) + " ms, lease " +
               std::to_string(m_leaseEndsMs - ClockMs()) + " ms");
  m_runs.push_back(run);
  m_working[key] = { m_runs.size() - 1, Clock::now() + work };
  if (m_onBegin) {
    std::thread([hook = m_onBegin, run] { hook(run); }).detach();
  }
  return Reply(json::object());
}

Response
Runner::Stop(const json& aBody)
{
  const Key key{ aBody.at("task").get<std::string>(),
                 aBody.at("run").get<std::uint32_t>() };
  std::uint32_t& highest = m_highestEnded[key.first];
  highest = std::max(highest, key.second);
  const auto working = m_working.find(key);
  if (working == m_working.end()) {
    return Reply(json::object());
  }
  if (m_options.m_stopTime <= Milliseconds::zero()) {
    Finish(key, "stopped");
  } else if (working->second.m_stoppedAt == Clock::time_point::max()) {
    working->second.m_stoppedAt = Clock::now() + m_options.m_stopTime;
    m_record.Add(m_options.m_name + " is told to stop " + key.first + "#" +
                 std::to_string(key.second));
  }
  return Reply(json::object());
}

Response
Runner::Hold(std::unique_lock<std::mutex>& aLock, const json& aBody)
{
  Renew(aBody);
  const std::uint64_t acked = aBody.value("acked", std::uint64_t{ 0 });
  std::erase_if(m_ends,
                [&](const End& aEnd) { return aEnd.m_number <= acked; });
  const Clock::time_point until =
    Clock::now() + Milliseconds(aBody.value("wait-ms", 0));
  const std::uint64_t born = m_bornMs;
  while (m_ends.empty() && Clock::now() < until && !m_stopped &&
         born == m_bornMs) {
    m_endedOne.wait_until(aLock, std::min(until, Clock::now() + 10 * kTick));
  }
  json running = json::array();
  for (const auto& [key, work] : m_working) {
    running.push_back({ key.first, key.second, "", 100, 0 });
  }
  json finished = json::array();
  for (const End& end : m_ends) {
    finished.push_back(
      { end.m_number, end.m_key.first, end.m_key.second, end.m_how, "" });
  }
  json body = { { "running", running }, { "finished", finished } };
  if (m_options.m_tellsBorn) {
    body["born"] = m_bornMs;
  }
  return Reply(body);
}

void
Runner::Renew(const json& aBody)
{
  const std::int64_t deadline = aBody.value("deadline-ms", std::int64_t{ 0 });
  m_leaseEndsMs = std::max(
    m_leaseEndsMs, std::min(deadline, ClockMs() + m_options.m_maxHold.count()));
}

void
Runner::Finish(const Key& aKey, const std::string& aHow)
{
  // The reference may be to the key that is erased.
  const Key key = aKey;
  Run& run = m_runs[m_working.at(key).m_run];
  run.m_ended = m_record.NowMs();
  run.m_how = aHow;
  m_working.erase(key);
  std::uint32_t& highest = m_highestEnded[key.first];
  highest = std::max(highest, key.second);
  m_ends.push_back({ ++m_lastEnd, key, aHow });
  m_record.Add(m_options.m_name + " ends " + key.first + "#" +
               std::to_string(key.second) + " as " + aHow);
  m_endedOne.notify_all();
}

void
Runner::Tick()
{
  while (!m_stopped) {
    std::this_thread::sleep_for(kTick);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool lapsed = m_leaseEndsMs <= ClockMs();
    std::vector<std::pair<Key, std::string>> over;
    for (const auto& [key, work] : m_working) {
      if (work.m_stoppedAt <= Clock::now()) {
        over.emplace_back(key, "stopped");
      } else if (work.m_doneAt <= Clock::now()) {
        over.emplace_back(key, "done");
      } else if (lapsed) {
        over.emplace_back(key, "lapsed");
      }
    }
    for (const auto& [key, how] : over) {
      Finish(key, how);
    }
  }
}

void
Runner::PingLoop()
{
  Clock::time_point next = Clock::now();
  std::uint64_t born = 0;
  while (!m_stopped) {
    // The first ping of a life is sent at its start.
    const std::uint64_t bornNow = BornMs();
    if (bornNow != born || Clock::now() >= next) {
      born = bornNow;
      next = Clock::now() + m_options.m_pingInterval;
      if (m_pinging) {
        Ping();
      }
    }
    std::this_thread::sleep_for(10 * kTick);
  }
}

void
Runner::Ping()
{
  if (m_server->IsCut()) {
    return;
  }
  const json body = PingBody();
  Call(m_options.m_controlIp,
       m_options.m_controlPort,
       "POST",
       "/Instances.Heartbeat/" + Id(),
       body.dump(),
       kPingTimeout);
}

json
Runner::PingBody()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  json body = { { "service", m_options.m_service },
                { "address",
                  m_options.m_ip + ":" + std::to_string(m_options.m_port) },
                { "zone", "z1" },
                { "version", "v1" },
                { "slots", 8 },
                { "state", "ready" },
                { "cold-remaining-ms", 0 },
                { "capacity",
                  { { "cpu", m_options.m_milliCores },
                    { "mem-mb", 32768 },
                    { "gpu", 0 } } },
                { "labels", m_options.m_labels },
                { "clock-ms", ClockMs() },
                { "sequence", ++m_sequence } };
  if (m_options.m_tellsBorn) {
    body["born"] = m_bornMs;
  }
  return body;
}

std::int64_t
Runner::ClockMs() const
{
  const double ms =
    static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(
                          Clock::now() - m_bornAt)
                          .count()) /
    1000;
  return kClockStartMs + static_cast<std::int64_t>(ms * m_options.m_clockRate);
}

Response
Runner::Reply(json aBody, int aStatus) const
{
  aBody["clock-ms"] = ClockMs();
  return { aStatus, aBody.dump() };
}

} // namespace mulberrysail::review
