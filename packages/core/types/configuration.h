#pragma once

#include "core/types/ids.h"
#include "core/types/result.h"
#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** What operators set for one service. */
struct ServiceConfig
{
  /** How long work of the service is expected to run before anything was
   * learned. */
  Duration m_expectedRun = std::chrono::milliseconds(300);
  /** Deadline of a submission that names none. */
  Duration m_defaultDeadline = std::chrono::seconds(10);
  /** Submissions that wait or run at one entry; more are refused. */
  std::uint32_t m_maxOpen = 20000;
  /** Refuse what can't be done by its deadline. */
  bool m_admission = true;
  /** Set to false to refuse all new work of the service. */
  bool m_enabled = true;

  bool operator==(const ServiceConfig&) const = default;
};

/** A queue of jobs: how callers reach it, and how its jobs are treated. */
struct QueueConfig
{
  /** The Host header by which callers name it; empty for any. */
  std::string m_host;
  /** What the path of its jobs begins with; the longest match counts. */
  std::string m_prefix;
  /** Its tasks run on workers of this service. */
  std::string m_service;
  /** 0 goes first. */
  std::uint32_t m_priority = 0;
  /** Deadline of its jobs, if their callers don't name an earlier one. */
  Duration m_timeout = std::chrono::seconds(10);
  /** Runs of one task that may end before it is done; 1: a task that has
   * started is never started again. */
  std::uint32_t m_maxAttempts = 1;
  /** A job meets its objective if it takes no longer than this many times its
   * longest task... */
  double m_slackFactor = 1;
  /** ...and this much more. */
  Duration m_targetDuration{};

  bool operator==(const QueueConfig&) const = default;
};

/** What operators set for one team. */
struct TeamConfig
{
  /** Share of the slots relative to other teams when all want more. */
  std::uint32_t m_weight = 1;
  /** Work of the team that may be open at all entries together; 0 for no
   * limit. */
  std::uint32_t m_maxOpen = 0;

  bool operator==(const TeamConfig&) const = default;
};

/** A whole configuration, as operators patch it. */
struct Configuration
{
  ConfigVersion m_version;
  std::map<std::string, ServiceConfig, std::less<>> m_services;
  std::map<std::string, TeamConfig, std::less<>> m_teams;
  std::map<std::string, QueueConfig, std::less<>> m_queues;
};

/**
 * Finds the queue that a path belongs to.
 * @param aHost the Host header of the request, without its port.
 * @return the name of the queue with the longest matching prefix; empty if
 * there is none.
 */
std::string_view
FindQueue(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath);

/**
 * Reads a configuration document.
 * @param aVersion the version under which it was accepted.
 * @param aDocument JSON text, comments allowed.
 * @return the configuration, or InvalidPatch naming every fault with its path.
 */
Result<Configuration>
ParseConfiguration(ConfigVersion aVersion, std::string_view aDocument);

} // namespace mulberrysail::core
