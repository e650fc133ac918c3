#pragma once

#include "bench/internal/arrival.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::bench {

/** The shape of a load. Shares and loads are parts of one. */
struct Profile
{
  std::string m_name;
  /** Share of all slots that the requests keep busy. */
  double m_load = 0.7;
  /** If set, requests come at this rate and all run for m_fixedRun. */
  double m_requestsPerSecond = 0;
  core::Duration m_fixedRun{};
  /** Load of the first part, as in an opening minute; m_load after it. */
  double m_openingLoad = 0;
  core::Duration m_openingFor{};
  core::Duration m_length = std::chrono::seconds(40);
  core::Duration m_deadline = std::chrono::seconds(10);
  /** Declared run times are off by a factor between 1/m_declaredError and
   * m_declaredError. */
  double m_declaredError = 1;
  /** Share of submissions that are cancelled while they are open. */
  double m_cancelled = 0;
  /** Jobs a second beside the requests, and tasks in each. */
  double m_jobsPerSecond = 0;
  std::uint32_t m_tasksPerJob = 50;
  std::uint32_t m_teams = 1;
  /** Each team sends this many times what the next one does. */
  double m_teamSkew = 1;
};

/** What the load is for. */
struct FleetSize
{
  std::uint32_t m_entries = 3;
  std::uint32_t m_endpoints = 11;
  std::uint32_t m_slots = 8;
  std::uint32_t m_workerMilliCores = 16000;
};

/** @return the names of all profiles. */
std::vector<std::string>
ProfileNames();

/** @return the profile called @p aName, if there is one. */
std::optional<Profile>
FindProfile(std::string_view aName);

/** @return the mean run time of a request. */
core::Duration
MeanRun();

/** @return the arrivals of @p aProfile, in order of time; the same for the
 * same seed. */
std::vector<Arrival>
MakeArrivals(const Profile& aProfile,
             const FleetSize& aFleet,
             std::uint64_t aSeed);

} // namespace mulberrysail::bench
