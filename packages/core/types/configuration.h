#pragma once

#include "core/types/ids.h"
#include "core/types/result.h"
#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** The operators' settings for one service. */
struct ServiceConfig
{
  /** The expected run time of the service's work until run times have been
   * learned. */
  Duration m_expectedRun = std::chrono::milliseconds(300);
  /** The deadline of a submission that does not set one. */
  Duration m_defaultDeadline = std::chrono::seconds(10);
  /** The most requests and tasks that may wait or run at one entry;
   * submissions beyond it are refused. */
  std::uint32_t m_maxOpen = 20000;
  /** Refuse submissions that cannot meet their deadline. */
  bool m_admission = true;
  /** Set to false to refuse all new work of the service. */
  bool m_enabled = true;

  bool operator==(const ServiceConfig&) const = default;
};

/** A queue of jobs: the host and path that select it, and the settings of its
 * jobs. */
struct QueueConfig
{
  /** The Host header that selects the queue; empty for any host. */
  std::string m_host;
  /** The path prefix that selects the queue; the longest matching prefix
   * wins. */
  std::string m_prefix;
  /** The service on whose workers the queue's tasks run. */
  std::string m_service;
  /** The priority; 0 is the highest. */
  std::uint32_t m_priority = 0;
  /** The deadline of jobs whose callers do not set an earlier one. */
  Duration m_timeout = std::chrono::seconds(10);
  /** The job fails when one of its tasks has failed this many times; with 1, a
   * task is never started a second time. */
  std::uint32_t m_maxAttempts = 1;
  /** A job meets its objective if it takes at most m_slackFactor times the run
   * time of its longest task, plus m_targetDuration. */
  double m_slackFactor = 1;
  Duration m_targetDuration{};

  bool operator==(const QueueConfig&) const = default;
};

/** The operators' settings for one team. */
struct TeamConfig
{
  /** The team's share of the slots, relative to other teams, while demand
   * exceeds the slots. */
  std::uint32_t m_weight = 1;
  /** The most requests and tasks of the team that may be open at all entries
   * together; 0 for no limit. */
  std::uint32_t m_maxOpen = 0;

  bool operator==(const TeamConfig&) const = default;
};

/** One complete version of the configuration that operators patch. */
struct Configuration
{
  ConfigVersion m_version;
  std::map<std::string, ServiceConfig, std::less<>> m_services;
  std::map<std::string, TeamConfig, std::less<>> m_teams;
  std::map<std::string, QueueConfig, std::less<>> m_queues;
};

/**
 * Finds the queue of a request.
 * @param aHost the Host header of the request, without its port.
 * @param aPath the path of the request.
 * @return the name of the queue with the longest matching prefix; empty if no
 * queue matches.
 */
std::string_view
FindQueue(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath);

/**
 * Parses a configuration document.
 * @param aVersion the version number of the document.
 * @param aDocument JSON text; comments are allowed.
 * @return the configuration; InvalidPatch, with every error and its path in
 * the detail, if the document is invalid.
 */
Result<Configuration>
ParseConfiguration(ConfigVersion aVersion, std::string_view aDocument);

} // namespace mulberrysail::core
