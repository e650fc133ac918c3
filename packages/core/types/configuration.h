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
};

/**
 * Reads a configuration document.
 * @param aVersion the version under which it was accepted.
 * @param aDocument JSON text, comments allowed.
 * @return the configuration, or InvalidPatch naming every fault with its path.
 */
Result<Configuration>
ParseConfiguration(ConfigVersion aVersion, std::string_view aDocument);

} // namespace mulberrysail::core
