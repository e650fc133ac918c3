#include "bench/internal/loaddriver.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace mulberrysail::bench {

namespace {

using Clock = std::chrono::steady_clock;
using core::Duration;

constexpr int kOk = 200;
constexpr double kMilliCores = 1000;
/** A caller waits this much longer than its deadline for the refusal. */
constexpr Duration kPatience = std::chrono::seconds(5);

std::chrono::milliseconds
ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

std::string
EchoOf(std::size_t aArrival, std::size_t aTask)
{
  return "a" + std::to_string(aArrival) + "t" + std::to_string(aTask) + ".";
}

std::string
PayloadOf(const TaskLoad& aTask, const std::string& aEcho)
{
  const nlohmann::json payload = { { "run_ms", ToMs(aTask.m_run).count() },
                                   { "id", aEcho } };
  return payload.dump();
}

nlohmann::json
TaskJson(const TaskLoad& aTask, const std::string& aEcho)
{
  return { { "payload", PayloadOf(aTask, aEcho) },
           { "cores", aTask.m_need.m_milliCores / kMilliCores },
           { "memory_mb", aTask.m_need.m_memoryMb },
           { "accelerators", aTask.m_need.m_accelerators },
           { "expected_run_ms", ToMs(aTask.m_declared).count() } };
}

/** Collects outcomes as they come. */
class Collector
{
public:
  explicit Collector(std::size_t aCount)
    : m_outcomes(aCount)
    , m_open(aCount)
  {
  }

  void Finish(std::size_t aIndex, Outcome aOutcome)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_outcomes[aIndex] = std::move(aOutcome);
    if (--m_open == 0) {
      m_done.notify_all();
    }
  }

  std::vector<Outcome> Wait()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_done.wait(lock, [this] { return m_open == 0; });
    return std::move(m_outcomes);
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_done;
  std::vector<Outcome> m_outcomes;
  std::size_t m_open;
};

bool
CarriesOwn(const nlohmann::json& aAnswer,
           const Arrival& aArrival,
           std::size_t aIndex)
{
  if (!aArrival.m_job) {
    return aAnswer.value("output", "").find(EchoOf(aIndex, 0)) !=
           std::string::npos;
  }
  const nlohmann::json outputs =
    aAnswer.value("outputs", nlohmann::json::array());
  if (outputs.size() != aArrival.m_tasks.size()) {
    return false;
  }
  for (std::size_t i = 0; i < outputs.size(); ++i) {
    if (outputs[i].get<std::string>().find(EchoOf(aIndex, i)) ==
        std::string::npos) {
      return false;
    }
  }
  return true;
}

Outcome
ReadOutcome(const network::HttpOutcome& aHttp,
            const Arrival& aArrival,
            std::size_t aIndex)
{
  Outcome outcome;
  outcome.m_answered = aHttp.m_delivery == network::HttpDelivery::Answered;
  outcome.m_status = aHttp.m_status;
  if (!outcome.m_answered) {
    outcome.m_errorKind = aHttp.m_detail;
    return outcome;
  }
  const nlohmann::json body =
    nlohmann::json::parse(aHttp.m_body, nullptr, false);
  if (!body.is_object()) {
    outcome.m_errorKind = "unreadable";
  } else if (aHttp.m_status != kOk) {
    outcome.m_errorKind = body.value("/error/kind"_json_pointer, "unnamed");
  } else {
    outcome.m_own = CarriesOwn(body, aArrival, aIndex);
  }
  return outcome;
}

network::HttpCall
CallFor(const LoadTarget& aTarget, const Arrival& aArrival, std::size_t aIndex)
{
  nlohmann::json body = { { "deadline_ms", ToMs(aArrival.m_deadline).count() },
                          { "team", aArrival.m_team } };
  if (aArrival.m_job) {
    for (std::size_t i = 0; i < aArrival.m_tasks.size(); ++i) {
      body["tasks"].push_back(TaskJson(aArrival.m_tasks[i], EchoOf(aIndex, i)));
    }
  } else {
    const TaskLoad& task = aArrival.m_tasks.front();
    body["payload"] = PayloadOf(task, EchoOf(aIndex, 0));
    body["expected_run_ms"] = ToMs(task.m_declared).count();
    body["repeatable"] = aArrival.m_repeatable;
  }
  network::HttpCall call;
  call.m_url = aTarget.m_entries[aArrival.m_entry % aTarget.m_entries.size()] +
               "/v1/services/" + aTarget.m_service +
               (aArrival.m_job ? "/jobs" : "/requests");
  call.m_headers["Content-Type"] = "application/json";
  call.m_body = body.dump();
  call.m_timeout = aArrival.m_cancelAfter.count() > 0
                     ? ToMs(aArrival.m_cancelAfter)
                     : ToMs(aArrival.m_deadline + kPatience);
  return call;
}

} // namespace

std::vector<Outcome>
DriveLoad(network::IHttpClient& aClient,
          const LoadTarget& aTarget,
          std::span<const Arrival> aArrivals)
{
  const std::shared_ptr<Collector> collector =
    std::make_shared<Collector>(aArrivals.size());
  if (aArrivals.empty()) {
    return {};
  }
  const Clock::time_point start = Clock::now();
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const Clock::time_point due = start + aArrivals[i].m_at;
    std::this_thread::sleep_until(due);
    const Duration late =
      std::chrono::duration_cast<Duration>(Clock::now() - due);
    const Arrival& arrival = aArrivals[i];
    aClient.Call(
      CallFor(aTarget, arrival, i),
      [collector, arrival, i, due, late](const network::HttpOutcome& aHttp) {
        Outcome outcome = ReadOutcome(aHttp, arrival, i);
        outcome.m_response =
          std::chrono::duration_cast<Duration>(Clock::now() - due);
        outcome.m_sentLate = late;
        collector->Finish(i, std::move(outcome));
      });
  }
  return collector->Wait();
}

} // namespace mulberrysail::bench
