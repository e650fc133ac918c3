#pragma once

#include "bench/internal/profile.h"
#include "bench/internal/summary.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mulberrysail::bench {

/** Where the system runs, as far as links and sizes tell. */
struct Place
{
  std::string m_name;
  /** One way between availability zones, and to callers. */
  double m_zoneDelayMs = 0;
  double m_callerDelayMs = 0;
  double m_workerCores = 0;
  std::uint32_t m_workerMemoryMb = 0;
};

/** What is done to a member during the run. */
struct Disturbance
{
  enum class Kind
  {
    Kill,
    Restart,
    /** Sends the fault to a stand-in's /control. */
    Control,
  };

  /** After the start of the run. */
  core::Duration m_at{};
  Kind m_kind = Kind::Kill;
  std::string m_member;
  nlohmann::json m_control;
};

struct Experiment
{
  Profile m_profile;
  Place m_place;
  FleetSize m_fleet;
  std::uint32_t m_workers = 11;
  std::uint64_t m_seed = 1;
  /** Merge patches of the settings. */
  nlohmann::json m_entrySettings = nlohmann::json::object();
  nlohmann::json m_agentSettings = nlohmann::json::object();
  std::vector<Disturbance> m_disturbances;
  /** Factor on the run times of endpoint-1. */
  double m_slowEndpoint = 1;
};

/** @return Tasdira's or Tala's place. */
Place
PlaceNamed(const std::string& aName);

/**
 * Runs real processes under the load and compares with the central queue.
 * @return the report: the run, its figures, the central queue's, counters.
 */
nlohmann::json
RunExperiment(const Experiment& aExperiment);

} // namespace mulberrysail::bench
