#include "standins/worker/worker.h"

#include "standins/common/jsonhttp.h"

#include <cmath>
#include <utility>

namespace mulberrysail::standins {

namespace {

constexpr std::string_view kTasksPath = "/v1/tasks/";

double
NumberHeader(const network::HttpRequest& aRequest,
             const char* aName,
             double aDefault)
{
  const auto header = aRequest.m_headers.find(aName);
  return header == aRequest.m_headers.end() ? aDefault
                                            : std::stod(header->second);
}

Micros
LeaseEnd(const network::HttpRequest& aRequest)
{
  const double leaseMs = NumberHeader(aRequest, "x-lease-ms", 0.0);
  if (leaseMs <= 0.0) {
    return Micros::max();
  }
  return MonotonicNow() +
         std::chrono::milliseconds(static_cast<std::int64_t>(leaseMs));
}

} // namespace

Worker::Worker(EventLoop& aLoop,
               network::IHttpClient& aClient,
               WorkerOptions aOptions,
               AnnouncerOptions aAnnouncer)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_host(m_options.m_journalPath,
           m_options.m_speed,
           [this] { m_announcer.AnnounceNow(); })
  , m_departure(aLoop, [this] { return m_tasks.Tasks().empty(); })
  , m_tasks(m_options.m_cores)
  , m_announcer(
      aLoop,
      aClient,
      std::move(aAnnouncer),
      [this] { return Announcement(); },
      [this] { m_departure.Acknowledged(); })
{
}

void
Worker::Start()
{
  m_announcer.Start();
}

void
Worker::Leave()
{
  m_departure.Begin();
  m_announcer.AnnounceNow();
}

void
Worker::Handle(network::HttpRequest aRequest, network::HttpResponder aResponder)
{
  if (m_host.HandleCommon(aRequest, aResponder)) {
    return;
  }
  const std::string path = aRequest.m_path;
  if (!path.starts_with(kTasksPath) || aRequest.m_method != "POST") {
    aResponder(ErrorResponse(404, "no such call"));
    return;
  }
  const std::string_view rest =
    std::string_view(path).substr(kTasksPath.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    StartTask(rest, std::move(aRequest), std::move(aResponder));
    return;
  }
  Act(rest.substr(0, slash), rest.substr(slash + 1), aRequest, aResponder);
}

void
Worker::StartTask(std::string_view aRun,
                  network::HttpRequest aRequest,
                  network::HttpResponder aResponder)
{
  WorkerTask task;
  task.m_run = aRun;
  task.m_payload = ParsePayload(aRequest.m_body);
  task.m_cores = task.m_payload.m_actualCores.value_or(
    NumberHeader(aRequest, "x-cores", 1.0));
  task.m_memoryMb = task.m_payload.m_actualMemoryMb.value_or(
    static_cast<std::uint32_t>(NumberHeader(aRequest, "x-memory-mb", 0.0)));
  task.m_left = m_host.RunTime(task.m_payload);
  task.m_leaseEnd = LeaseEnd(aRequest);
  task.m_body = std::move(aRequest.m_body);
  task.m_responder = std::move(aResponder);
  m_host.Record({ "start", task.m_run, task.m_payload.m_id });
  const TaskSet::Key key = m_tasks.Add(MonotonicNow(), std::move(task));
  if (m_tasks.MemoryMb() > m_options.m_memoryMb) {
    Finish(key, "fail", "out of memory");
  }
  TasksChanged();
}

void
Worker::Act(std::string_view aRun,
            std::string_view aAction,
            const network::HttpRequest& aRequest,
            const network::HttpResponder& aResponder)
{
  if (aAction == "stop") {
    Stop(aRun);
  } else if (aAction == "throttle") {
    const nlohmann::json body = ParseObject(aRequest.m_body);
    m_tasks.Throttle(
      MonotonicNow(), std::string(aRun), body.at("cores").get<double>());
    TasksChanged();
  } else if (aAction != "checkpoint") {
    aResponder(ErrorResponse(404, "no such call"));
    return;
  }
  aResponder(JsonResponse(nlohmann::json::object()));
}

void
Worker::Stop(std::string_view aRun)
{
  for (const TaskSet::Key key : m_tasks.Find(std::string(aRun))) {
    Finish(key, "stop", "stopped");
  }
  TasksChanged();
}

void
Worker::Finish(TaskSet::Key aKey, const char* aEvent, const char* aFault)
{
  WorkerTask task = m_tasks.Take(MonotonicNow(), aKey);
  m_host.Record({ aEvent, task.m_run, task.m_payload.m_id });
  m_host.Answer(task.m_responder,
                aFault == nullptr ? TextResponse(std::move(task.m_body))
                                  : ErrorResponse(500, aFault));
}

void
Worker::FinishDue()
{
  const Micros now = MonotonicNow();
  for (const TaskSet::Key key : m_tasks.Ended(now)) {
    const bool fails = m_host.Fails(m_tasks.Tasks().at(key).m_payload);
    Finish(key, fails ? "fail" : "end", fails ? "told to fail" : nullptr);
  }
  for (const TaskSet::Key key : m_tasks.Lapsed(now)) {
    Finish(key, "lapse", "the lease lapsed");
  }
  TasksChanged();
}

void
Worker::TasksChanged()
{
  ReportUsageLater();
  const std::uint64_t generation = ++m_timerGeneration;
  const Micros next = m_tasks.NextChange();
  if (next == Micros::max()) {
    return;
  }
  m_loop.After(next - MonotonicNow(), [this, generation] {
    if (generation == m_timerGeneration) {
      FinishDue();
    }
  });
}

void
Worker::ReportUsageLater()
{
  m_loop.After(m_options.m_usageLag,
               [this, usage = Usage()] { m_reportedUsage = usage; });
}

nlohmann::json
Worker::Usage() const
{
  nlohmann::json usage = nlohmann::json::array();
  for (const auto& [key, task] : m_tasks.Tasks()) {
    usage.push_back({ { "run", task.m_run },
                      { "cores", task.m_cores },
                      { "memory_mb", task.m_memoryMb } });
  }
  return usage;
}

nlohmann::json
Worker::Announcement() const
{
  return { { "name", m_options.m_name },
           { "rack", m_options.m_rack },
           { "cores", m_options.m_cores },
           { "memory_mb", m_options.m_memoryMb },
           { "accelerators", m_options.m_accelerators },
           { "url", m_options.m_ownUrl },
           { "leaving", Leaving() },
           { "usage", m_reportedUsage } };
}

bool
Worker::Leaving() const
{
  return m_departure.Begun() || m_host.Control().m_leaving;
}

} // namespace mulberrysail::standins
