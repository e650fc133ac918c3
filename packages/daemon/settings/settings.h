#pragma once

#include "core/types/policy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** The function of a process in the dispatcher. */
enum class Role : std::uint8_t
{
  Entry,
  Agent,
};

enum class PlacementKind : std::uint8_t
{
  ReportedLoad,
  Random,
  Probe,
};

/** The least severe level that is logged. */
enum class LogLevel : std::uint8_t
{
  /** Includes events that repeat information of other events of the same work.
   */
  Verbose,
  Info,
  Warning,
};

struct HttpSettings
{
  std::string m_address = "127.0.0.1";
  /** 0 lets the operating system choose. */
  std::uint16_t m_port = 0;
  std::uint32_t m_threads = 2;
  std::uint64_t m_maxBodyBytes = 4ULL << 20U;
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  std::uint32_t m_maxConnections = 4096;
};

struct MessageSettings
{
  std::string m_address = "127.0.0.1";
  /** Port of the first shard; further shards use the ports that follow. 0 lets
   * the operating system choose. */
  std::uint16_t m_port = 0;
};

/** The URLs at which other processes reach this one; an empty one stands for
 * the listening address. */
struct AdvertiseSettings
{
  std::string m_httpUrl;
  std::string m_messageUrl;
};

struct LimitSettings
{
  std::uint32_t m_tasksPerJob = 290;
  core::Duration m_maxDeadline = std::chrono::minutes(10);
};

struct LogSettings
{
  LogLevel m_level = LogLevel::Info;
  /** Lines of each event code; zero for no limit. */
  std::uint32_t m_linesPerSecond = 400;
};

/** The protocols used with callers, workers and the store. */
enum class Interface : std::uint8_t
{
  /** The product's own protocols; see docs/API.md. */
  Native,
  /** The protocols of the users' platform. */
  Platform,
};

/** Addresses of the adapter to the users' platform. */
struct AdapterSettings
{
  Interface m_interface = Interface::Native;
  /** IP:PORT where an entry accepts callers, or an agent the announcements of
   * workers. */
  std::string m_listen;
  /** IP:PORT where a load balancer checks whether an entry is ready. */
  std::string m_readyListen;
  /** See network::HttpServerOptions::m_settleTime. */
  core::Duration m_settleTime{};
  /** URL at which the worker local to an agent accepts commands. */
  std::string m_workerUrl;
};

/** Placement of attempts by an entry, as written in the settings file. */
struct PlacementSettings
{
  PlacementKind m_kind = PlacementKind::ReportedLoad;
  core::ProbePlacement m_probe;
  core::ReportedLoadPlacement m_reportedLoad;
};

/** All settings that a process reads at its start. */
struct Settings
{
  Role m_role = Role::Entry;
  std::string m_name;
  std::string m_zone;
  HttpSettings m_http;
  MessageSettings m_messages;
  AdvertiseSettings m_advertise;
  std::vector<std::string> m_storeUrls;
  /** The registration of an entry in the store expires this long after its last
   * renewal. */
  core::Duration m_storeLease = std::chrono::seconds(10);
  /** Message URLs of entries to connect to, whether or not the store lists
   * them. */
  std::vector<std::string> m_entries;
  LimitSettings m_limits;
  std::uint32_t m_shards = 1;
  PlacementSettings m_placement;
  core::EntryPolicy m_entryPolicy;
  core::AgentPolicy m_agentPolicy;
  LogSettings m_log;
  std::uint32_t m_timelineEvents = 20000;
  /** A drain that takes longer fails; zero for no limit. */
  core::Duration m_drainTimeout = std::chrono::minutes(2);
  /** How long a draining entry still accepts new work, so that load balancers
   * can notice that it is no longer ready. */
  core::Duration m_drainAccept{};
  AdapterSettings m_adapter;
  /** Seed of all random choices; chosen at random if absent. */
  std::optional<std::uint64_t> m_seed;
};

} // namespace mulberrysail::daemon
