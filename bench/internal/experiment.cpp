#include "bench/internal/experiment.h"

#include "bench/internal/centralqueue.h"
#include "bench/internal/loaddriver.h"
#include "support/cluster.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace mulberrysail::bench {

namespace {

using core::Duration;
using nlohmann::json;
using testsupport::Cluster;
using testsupport::ClusterOptions;

constexpr std::uint32_t kZones = 3;
constexpr const char* kService = "photo-check";

std::string
Numbered(const char* aKind, std::uint32_t aNumber)
{
  return std::string(aKind) + "-" + std::to_string(aNumber);
}

Duration
Millis(double aMillis)
{
  return Duration(static_cast<Duration::rep>(aMillis * 1000));
}

bool
HasDelays(const Place& aPlace)
{
  return aPlace.m_zoneDelayMs > 0 || aPlace.m_callerDelayMs > 0;
}

ClusterOptions
OptionsFor(const Experiment& aExperiment)
{
  ClusterOptions options;
  options.m_entries = aExperiment.m_fleet.m_entries;
  options.m_agents = aExperiment.m_fleet.m_endpoints;
  options.m_workers = aExperiment.m_workers;
  options.m_service = kService;
  options.m_slots = aExperiment.m_fleet.m_slots;
  options.m_workerCores = aExperiment.m_place.m_workerCores;
  options.m_workerMemoryMb = aExperiment.m_place.m_workerMemoryMb;
  options.m_proxies = HasDelays(aExperiment.m_place);
  options.m_zones = kZones;
  options.m_entrySettings = aExperiment.m_entrySettings;
  options.m_agentSettings = aExperiment.m_agentSettings;
  return options;
}

void
SetDelays(Cluster& aCluster, const Experiment& aExperiment)
{
  for (std::uint32_t e = 1; e <= aExperiment.m_fleet.m_entries; ++e) {
    const std::string entry = Numbered("entry", e);
    aCluster.SetLink("caller/" + entry,
                     { { "delay_ms", aExperiment.m_place.m_callerDelayMs } });
    for (std::uint32_t a = 1; a <= aExperiment.m_fleet.m_endpoints; ++a) {
      if (a % kZones != e % kZones) {
        aCluster.SetLink(Numbered("agent", a) + "/" + entry,
                         { { "delay_ms", aExperiment.m_place.m_zoneDelayMs } });
      }
    }
  }
}

/** Counters of all entries and agents, by member. */
json
ReadCounters(Cluster& aCluster, const Experiment& aExperiment)
{
  json counters;
  const auto read = [&](const std::string& aMember) {
    const network::HttpOutcome status =
      aCluster.Http().Get(aCluster.Layout().DirectUrl(aMember) + "/v1/status");
    const json body = json::parse(status.m_body, nullptr, false);
    // A member that was killed answers nothing.
    if (body.is_object()) {
      counters[aMember] = body.value("counters", json::object());
    }
  };
  for (std::uint32_t e = 1; e <= aExperiment.m_fleet.m_entries; ++e) {
    read(Numbered("entry", e));
  }
  for (std::uint32_t a = 1; a <= aExperiment.m_fleet.m_endpoints; ++a) {
    read(Numbered("agent", a));
  }
  return counters;
}

/** @return the growth of each counter between two readings, summed over the
 * members whose name begins with @p aKind. */
json
SumGrowth(const json& aBefore, const json& aAfter, const std::string& aKind)
{
  json sum = json::object();
  for (const auto& [member, counters] : aAfter.items()) {
    if (member.rfind(aKind, 0) != 0 || !counters.is_object()) {
      continue;
    }
    for (const auto& [name, value] : counters.items()) {
      if (!value.is_number()) {
        continue;
      }
      const json before =
        aBefore.value(member, json::object()).value(name, json(0));
      const double growth = value.get<double>() - before.get<double>();
      sum[name] = sum.value(name, 0.0) + growth;
    }
  }
  return sum;
}

/** Carries out the disturbances of a run, each at its time. */
class Disturber
{
public:
  Disturber(Cluster& aCluster, std::vector<Disturbance> aDisturbances)
    : m_cluster(aCluster)
    , m_disturbances(std::move(aDisturbances))
    , m_thread([this] { Run(); })
  {
  }

  ~Disturber()
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stop = true;
    }
    m_wake.notify_all();
    m_thread.join();
  }

  Disturber(const Disturber&) = delete;
  Disturber& operator=(const Disturber&) = delete;

private:
  void Run()
  {
    const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    for (const Disturbance& disturbance : m_disturbances) {
      std::unique_lock<std::mutex> lock(m_mutex);
      if (m_wake.wait_until(
            lock, start + disturbance.m_at, [this] { return m_stop; })) {
        return;
      }
      lock.unlock();
      CarryOut(disturbance);
    }
  }

  void CarryOut(const Disturbance& aDisturbance)
  {
    switch (aDisturbance.m_kind) {
      case Disturbance::Kind::Kill:
        m_cluster.Member(aDisturbance.m_member).Kill();
        return;
      case Disturbance::Kind::Restart:
        m_cluster.Restart(aDisturbance.m_member);
        return;
      case Disturbance::Kind::Control:
        m_cluster.Control(aDisturbance.m_member, aDisturbance.m_control);
        return;
    }
  }

  Cluster& m_cluster;
  std::vector<Disturbance> m_disturbances;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::thread m_thread;
};

json
CentralFigures(const Experiment& aExperiment,
               const std::vector<Arrival>& aArrivals,
               QueueOrder aOrder,
               Duration aHops)
{
  CentralQueueModel model;
  model.m_order = aOrder;
  const std::uint32_t slots = aExperiment.m_fleet.m_slots;
  model.m_slotSpeeds.assign(
    static_cast<std::size_t>(aExperiment.m_fleet.m_endpoints) * slots, 1.0);
  std::fill_n(
    model.m_slotSpeeds.begin(), slots, 1 / aExperiment.m_slowEndpoint);
  return ToJson(
    SummarizeCentral(aArrivals, ReplayCentralQueue(model, aArrivals), aHops));
}

/** The figures of requests and of jobs apart. */
json
OwnFigures(const std::vector<Arrival>& aArrivals,
           const std::vector<Outcome>& aOutcomes,
           bool aJobs,
           Duration aHops)
{
  std::vector<Arrival> arrivals;
  std::vector<Outcome> outcomes;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    if (aArrivals[i].m_job == aJobs) {
      arrivals.push_back(aArrivals[i]);
      outcomes.push_back(aOutcomes[i]);
    }
  }
  return ToJson(Summarize(arrivals, outcomes, aHops));
}

json
CountKinds(const std::vector<Outcome>& aOutcomes)
{
  json kinds = json::object();
  for (const Outcome& outcome : aOutcomes) {
    const std::string kind =
      outcome.m_errorKind.empty() ? "complete" : outcome.m_errorKind;
    kinds[kind] = kinds.value(kind, 0) + 1;
  }
  return kinds;
}

} // namespace

Place
PlaceNamed(const std::string& aName)
{
  if (aName == "tasdira") {
    return { aName, 1, 1, 16, 32768 };
  }
  if (aName == "tala") {
    return { aName, 1.5, 3, 64, 131072 };
  }
  if (aName == "local") {
    return { aName, 0, 0, 16, 32768 };
  }
  throw std::invalid_argument("no place is called " + aName);
}

json
RunExperiment(const Experiment& aExperiment)
{
  const std::vector<Arrival> arrivals = MakeArrivals(
    aExperiment.m_profile, aExperiment.m_fleet, aExperiment.m_seed);
  Cluster cluster(OptionsFor(aExperiment));
  cluster.Start();
  if (HasDelays(aExperiment.m_place)) {
    SetDelays(cluster, aExperiment);
  }
  if (aExperiment.m_slowEndpoint != 1) {
    cluster.Control("endpoint-1", { { "speed", aExperiment.m_slowEndpoint } });
  }
  LoadTarget target;
  target.m_service = kService;
  for (std::uint32_t e = 1; e <= aExperiment.m_fleet.m_entries; ++e) {
    target.m_entries.push_back(cluster.Layout().CallerUrl(e));
  }
  const std::unique_ptr<network::IHttpClient> client =
    network::StartHttpClient({ 1024, 0 });
  const json before = ReadCounters(cluster, aExperiment);
  const std::chrono::steady_clock::time_point start =
    std::chrono::steady_clock::now();
  std::vector<Outcome> outcomes;
  {
    const Disturber disturber(cluster, aExperiment.m_disturbances);
    outcomes = DriveLoad(*client, target, arrivals);
    if (arrivals.empty()) {
      std::this_thread::sleep_until(start + aExperiment.m_profile.m_length);
    }
  }
  const double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  const json after = ReadCounters(cluster, aExperiment);
  client->Stop();
  const Duration hops = 2 * Millis(aExperiment.m_place.m_callerDelayMs);
  return { { "profile", aExperiment.m_profile.m_name },
           { "place", aExperiment.m_place.m_name },
           { "seed", aExperiment.m_seed },
           { "seconds", seconds },
           { "requests", OwnFigures(arrivals, outcomes, false, hops) },
           { "jobs", OwnFigures(arrivals, outcomes, true, hops) },
           { "kinds", CountKinds(outcomes) },
           { "central_fifo",
             CentralFigures(
               aExperiment, arrivals, QueueOrder::FirstComeFirstServed, hops) },
           { "central_shortest",
             CentralFigures(
               aExperiment, arrivals, QueueOrder::ShortestFirst, hops) },
           { "entries", SumGrowth(before, after, "entry") },
           { "agents", SumGrowth(before, after, "agent") } };
}

} // namespace mulberrysail::bench
