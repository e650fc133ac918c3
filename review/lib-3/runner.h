#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mulberrysail::review3 {

struct RunnerOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_rack;
  /** The address of the runner, and that of the agent on the same machine. */
  std::string m_address;
  std::uint16_t m_port = 0;
  std::uint16_t m_controlPort = 0;
  std::uint32_t m_milliCores = 16000;
  std::uint32_t m_memoryMb = 32768;
  milliseconds m_beat{ 1500 };
  /** Longest lease. */
  milliseconds m_maxHold{ 1000 };
  /** Whether pings and lists say when the runner has started (`born`). */
  bool m_statesBorn = false;
  /** When a ping that was sent into a cut is sent again first. */
  milliseconds m_firstRetransmission{ 300 };
};

/** One run that the runner has begun. */
struct Begun
{
  std::string m_task;
  std::uint32_t m_run = 0;
  Instant m_at;
  /** When it ended; absent while it goes on. */
  std::optional<Instant> m_endedAt;
};

/** A ping that was acknowledged. */
struct AckedPing
{
  std::uint64_t m_sequence = 0;
  std::string m_state;
  Instant m_at;
};

/** A sound runner of the platform. It runs a task for `run_ms` of the spec, a
 * JSON text, and keeps leases, ends and the highest fencing token as the
 * protocol says.
 *
 * Its path to the agent can be cut. Calls that are under way then get no
 * answer. A ping that is sent meanwhile waits in its connection until a
 * retransmission gets through: first after the time in the options, and then
 * after pauses that double. */
class Runner
{
public:
  Runner(RunnerOptions aOptions, Record& aRecord);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /** Sends pings from now on, in the interval of the options. */
  void StartPings();
  /** Says of itself that it drains, from the next ping on. */
  void SetDraining();
  /** Changes the capacity, of which the next ping tells. */
  void SetMilliCores(std::uint32_t aMilliCores);
  /** Crashes and starts again at once under its id: it holds and knows nothing
   * of before, and its counts and its clock start anew. */
  void StartAgain();
  /** Cuts and heals the path between the runner and the agent. */
  void SetCut(bool aCut);

  std::vector<Begun> BegunRuns() const;
  std::vector<AckedPing> AckedPings() const;
  const std::string& Id() const { return m_options.m_id; }
  /** @return the number of tasks at work. */
  std::size_t Running() const;

private:
  struct Run
  {
    std::uint32_t m_number = 0;
    Instant m_ends;
  };

  struct End
  {
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_how;
  };

  /** A ping on its way through a cut. */
  struct Delayed
  {
    std::uint64_t m_sequence = 0;
    std::string m_state;
    Instant m_sentAt;
    /** The reading of the clock in the ping, and the start that it states. */
    std::int64_t m_clockMs = 0;
    std::int64_t m_bornUnixMs = 0;
    std::uint32_t m_milliCores = 0;
    /** When it is sent next, and the pause after that. */
    Instant m_next;
    milliseconds m_pause{};
  };

  std::optional<HttpResponse> Handle(const HttpRequest& aRequest);
  HttpResponse Start(const nlohmann::json& aBody);
  HttpResponse Stop(const nlohmann::json& aBody);
  HttpResponse Hold(const nlohmann::json& aBody);
  nlohmann::json Lists() const;

  /** Called with the lock held. */
  bool IsFenced(const nlohmann::json& aBody);
  void ExtendLease(const nlohmann::json& aBody);
  void EndRun(const std::string& aTask, const std::string& aHow);
  std::int64_t ClockMs() const;
  HttpResponse Refuse(const std::string& aReason) const;

  void RunTimer();
  void RunPings();
  void SendPing(std::uint64_t aSequence,
                const std::string& aState,
                std::int64_t aClockMs,
                std::int64_t aBornUnixMs,
                std::uint32_t aMilliCores,
                const std::string& aNote);
  void SendDelayed();

  const RunnerOptions m_options;
  Record& m_record;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Run> m_runs;
  std::map<std::string, std::uint32_t> m_endedRuns;
  std::deque<End> m_ends;
  std::uint64_t m_lastEnd = 0;
  std::uint64_t m_fence = 0;
  Instant m_leaseEnds;
  std::vector<Begun> m_begun;
  std::vector<AckedPing> m_acked;
  bool m_cut = false;
  std::uint32_t m_milliCores = 0;
  bool m_draining = false;
  std::deque<Delayed> m_delayed;
  std::uint64_t m_sequence = 0;
  bool m_stopped = false;
  Instant m_born = Now();
  std::int64_t m_bornUnixMs = 0;
  /** Set by StartAgain(), until the first ping of the new life. */
  bool m_pingNow = false;
  std::thread m_timer;
  std::thread m_pings;
  /** Declared last, so that it ends first. */
  HttpServer m_server;
};

} // namespace mulberrysail::review3
