#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mulberrysail::review {

struct RunnerOptions
{
  std::string m_name;
  /** Where the runner takes calls. */
  std::string m_ip;
  std::uint16_t m_port = 0;
  /** Where the runner sends its pings. */
  std::string m_controlIp;
  std::uint16_t m_controlPort = 0;
  std::string m_service = "photo";
  std::vector<std::string> m_labels;
  std::uint32_t m_milliCores = 16000;
  Milliseconds m_pingInterval{ 1500 };
  /** Rate of the runner's steady clock; the pages allow 0.98. */
  double m_clockRate = 1;
  /** Longest lease ("max-hold-ms"). */
  Milliseconds m_maxHold{ 1000 };
  /** Whether responses hold "born". */
  bool m_tellsBorn = false;
  /** Time that a stop takes ("stop-ms" at most). */
  Milliseconds m_stopTime{ 0 };
};

/** One run of a task, as the runner saw it. Times are milliseconds since the
 * start of the case. */
struct Run
{
  std::string m_runner;
  std::string m_task;
  std::uint32_t m_number = 0;
  std::uint32_t m_milliCores = 0;
  std::vector<std::string> m_labels;
  std::int64_t m_began = 0;
  /** -1 while it goes on. */
  std::int64_t m_ended = -1;
  std::string m_how;
};

/** A runner of the platform. A task works for "work-ms" of its spec, which is a
 * JSON object. */
class Runner
{
public:
  Runner(RunnerOptions aOptions, Record& aRecord);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /** Partitions the runner from its machine, or ends that. */
  void SetCut(bool aCut);
  /** Crashes the runner: what runs ends, and nothing of it is remembered. It
   * starts again at once.
   * @param aId its id from then on.
   * @param aLabels its labels from then on. */
  void Restart(const std::string& aId, std::vector<std::string> aLabels);
  /** Calls @p aHook, on another thread, when a run has begun. */
  void OnBegin(std::function<void(const Run&)> aHook);
  /** Sends a ping now. */
  void Ping();
  void SetPinging(bool aPinging) { m_pinging = aPinging; }

  const std::string& Name() const { return m_options.m_name; }
  std::string Id();
  std::vector<Run> Runs();
  std::size_t Working();

private:
  using Key = std::pair<std::string, std::uint32_t>;
  struct Work
  {
    std::size_t m_run = 0;
    Clock::time_point m_doneAt;
    /** When a stop that was ordered is done. */
    Clock::time_point m_stoppedAt = Clock::time_point::max();
  };
  struct End
  {
    std::uint64_t m_number = 0;
    Key m_key;
    std::string m_how;
  };

  std::optional<Response> Handle(const Request& aRequest);
  Response Start(const nlohmann::json& aBody);
  Response Stop(const nlohmann::json& aBody);
  Response Hold(std::unique_lock<std::mutex>& aLock,
                const nlohmann::json& aBody);
  void Renew(const nlohmann::json& aBody);
  void Finish(const Key& aKey, const std::string& aHow);
  void Tick();
  void PingLoop();
  std::uint64_t BornMs();
  std::int64_t ClockMs() const;
  Response Reply(nlohmann::json aBody, int aStatus = 200) const;
  nlohmann::json PingBody();

  RunnerOptions m_options;
  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_endedOne;
  std::string m_id;
  std::uint64_t m_bornMs = 0;
  Clock::time_point m_bornAt;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_token = 0;
  std::int64_t m_leaseEndsMs = 0;
  std::uint64_t m_lastEnd = 0;
  std::map<Key, Work> m_working;
  std::map<std::string, std::uint32_t> m_highestEnded;
  std::vector<End> m_ends;
  std::vector<Run> m_runs;
  std::function<void(const Run&)> m_onBegin;
  std::atomic<bool> m_stopped{ false };
  std::atomic<bool> m_pinging{ true };
  std::unique_ptr<HttpServer> m_server;
  std::thread m_ticker;
  std::thread m_pinger;
};

} // namespace mulberrysail::review
