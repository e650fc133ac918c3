#include "bench/internal/profile.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace mulberrysail::bench {

namespace {

using Random = boost::random::mt19937_64;

/** Most tasks run 50 ms to a second, and a few several seconds. */
constexpr double kShortestSeconds = 0.05;
constexpr double kLongestUsualSeconds = 1.0;
constexpr double kLongestSeconds = 4.0;
constexpr double kShareOfLong = 0.05;
constexpr double kMicrosPerSecond = 1e6;

core::Duration
Seconds(double aSeconds)
{
  return core::Duration(
    static_cast<core::Duration::rep>(aSeconds * kMicrosPerSecond));
}

double
Uniform(Random& aRandom, double aFrom, double aTo)
{
  return boost::random::uniform_real_distribution<double>(aFrom, aTo)(aRandom);
}

double
LogUniform(Random& aRandom, double aFrom, double aTo)
{
  return std::exp(Uniform(aRandom, std::log(aFrom), std::log(aTo)));
}

std::vector<Profile>
AllProfiles()
{
  const Profile base;
  std::vector<Profile> all;
  const auto add = [&](const char* aName) -> Profile& {
    all.push_back(base);
    all.back().m_name = aName;
    return all.back();
  };
  add("steady50").m_load = 0.5;
  add("steady70").m_load = 0.7;
  add("steady90").m_load = 0.9;
  Profile& opening = add("opening");
  opening.m_openingLoad = 4;
  opening.m_openingFor = std::chrono::seconds(10);
  opening.m_load = 0.6;
  opening.m_deadline = std::chrono::seconds(5);
  Profile& declared = add("declared");
  declared.m_declaredError = 10;
  Profile& declared90 = add("declared90");
  declared90.m_load = 0.9;
  declared90.m_declaredError = 10;
  Profile& cancelled = add("cancelled");
  cancelled.m_cancelled = 0.3;
  Profile& mixed = add("mixed");
  mixed.m_jobsPerSecond = 2;
  mixed.m_teams = 6;
  mixed.m_teamSkew = 2;
  Profile& jobs = add("jobs");
  jobs.m_load = 0;
  jobs.m_jobsPerSecond = 5;
  Profile& idle = add("idle");
  idle.m_load = 0;
  for (const double rate : { 2500.0, 5000.0 }) {
    const std::string name = "rate" + std::to_string(static_cast<int>(rate));
    Profile& cost = add(name.c_str());
    cost.m_requestsPerSecond = rate;
    cost.m_fixedRun = std::chrono::milliseconds(1);
    cost.m_length = std::chrono::seconds(10);
  }
  return all;
}

TaskLoad
DrawTask(const Profile& aProfile, Random& aRandom)
{
  if (aProfile.m_requestsPerSecond > 0) {
    return { aProfile.m_fixedRun, aProfile.m_fixedRun, {} };
  }
  const bool isLong = Uniform(aRandom, 0, 1) < kShareOfLong;
  const double run =
    isLong ? Uniform(aRandom, kLongestUsualSeconds, kLongestSeconds)
           : LogUniform(aRandom, kShortestSeconds, kLongestUsualSeconds);
  const double error = aProfile.m_declaredError > 1
                         ? LogUniform(aRandom,
                                      1 / aProfile.m_declaredError,
                                      aProfile.m_declaredError)
                         : 1;
  TaskLoad task;
  task.m_run = Seconds(run);
  task.m_declared = Seconds(run * error);
  return task;
}

std::string
DrawTeam(const Profile& aProfile, Random& aRandom)
{
  double total = 0;
  for (std::uint32_t i = 0; i < aProfile.m_teams; ++i) {
    total += std::pow(aProfile.m_teamSkew, i);
  }
  double left = Uniform(aRandom, 0, total);
  for (std::uint32_t i = 0; i < aProfile.m_teams; ++i) {
    left -= std::pow(aProfile.m_teamSkew, i);
    if (left <= 0) {
      return "team-" + std::to_string(i);
    }
  }
  return "team-0";
}

Arrival
DrawArrival(const Profile& aProfile,
            const FleetSize& aFleet,
            core::Duration aAt,
            Random& aRandom)
{
  Arrival arrival;
  arrival.m_at = aAt;
  arrival.m_deadline = aProfile.m_deadline;
  arrival.m_team = DrawTeam(aProfile, aRandom);
  arrival.m_entry = boost::random::uniform_int_distribution<std::uint32_t>(
    0, aFleet.m_entries - 1)(aRandom);
  if (Uniform(aRandom, 0, 1) < aProfile.m_cancelled) {
    arrival.m_cancelAfter = Seconds(Uniform(aRandom, 0.01, 0.5));
  }
  return arrival;
}

void
AddRequests(const Profile& aProfile,
            const FleetSize& aFleet,
            Random& aRandom,
            std::vector<Arrival>& aArrivals)
{
  const double slots = static_cast<double>(aFleet.m_endpoints) * aFleet.m_slots;
  const double meanSeconds =
    static_cast<double>(MeanRun().count()) / kMicrosPerSecond;
  core::Duration at{};
  for (;;) {
    const bool opening = at < aProfile.m_openingFor;
    const double load = opening ? aProfile.m_openingLoad : aProfile.m_load;
    const double rate = aProfile.m_requestsPerSecond > 0
                          ? aProfile.m_requestsPerSecond
                          : load * slots / meanSeconds;
    if (rate <= 0) {
      return;
    }
    boost::random::exponential_distribution<double> gap(rate);
    at += Seconds(gap(aRandom));
    if (at >= aProfile.m_length) {
      return;
    }
    Arrival arrival = DrawArrival(aProfile, aFleet, at, aRandom);
    arrival.m_tasks.push_back(DrawTask(aProfile, aRandom));
    aArrivals.push_back(std::move(arrival));
  }
}

void
AddJobs(const Profile& aProfile,
        const FleetSize& aFleet,
        Random& aRandom,
        std::vector<Arrival>& aArrivals)
{
  if (aProfile.m_jobsPerSecond <= 0) {
    return;
  }
  boost::random::exponential_distribution<double> gap(aProfile.m_jobsPerSecond);
  constexpr std::array kCores = { 500U, 1000U, 2000U };
  constexpr std::uint32_t kMemoryMb = 256;
  core::Duration at = Seconds(gap(aRandom));
  while (at < aProfile.m_length) {
    Arrival arrival = DrawArrival(aProfile, aFleet, at, aRandom);
    arrival.m_job = true;
    for (std::uint32_t i = 0; i < aProfile.m_tasksPerJob; ++i) {
      TaskLoad task = DrawTask(aProfile, aRandom);
      const std::size_t size =
        boost::random::uniform_int_distribution<std::size_t>(
          0, kCores.size() - 1)(aRandom);
      task.m_need = { kCores.at(size), kMemoryMb, 0 };
      arrival.m_tasks.push_back(task);
    }
    aArrivals.push_back(std::move(arrival));
    at += Seconds(gap(aRandom));
  }
}

} // namespace

std::vector<std::string>
ProfileNames()
{
  std::vector<std::string> names;
  for (const Profile& profile : AllProfiles()) {
    names.push_back(profile.m_name);
  }
  return names;
}

std::optional<Profile>
FindProfile(std::string_view aName)
{
  for (Profile& profile : AllProfiles()) {
    if (profile.m_name == aName) {
      return std::move(profile);
    }
  }
  return std::nullopt;
}

core::Duration
MeanRun()
{
  const double usual = (kLongestUsualSeconds - kShortestSeconds) /
                       std::log(kLongestUsualSeconds / kShortestSeconds);
  const double isLong = (kLongestUsualSeconds + kLongestSeconds) / 2;
  return Seconds((1 - kShareOfLong) * usual + kShareOfLong * isLong);
}

std::vector<Arrival>
MakeArrivals(const Profile& aProfile,
             const FleetSize& aFleet,
             std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<Arrival> arrivals;
  AddRequests(aProfile, aFleet, random, arrivals);
  AddJobs(aProfile, aFleet, random, arrivals);
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.m_at < aRight.m_at;
                   });
  return arrivals;
}

} // namespace mulberrysail::bench
