#pragma once

#include "support/portpicker.h"
#include "support/process.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

struct ClusterOptions
{
  std::uint32_t m_entries = 2;
  /** Each with its endpoint. */
  std::uint32_t m_agents = 3;
  std::uint32_t m_workers = 3;
  std::string m_service = "photo-check";
  /** The first configuration's fields of the service. */
  nlohmann::json m_serviceConfig = nlohmann::json::object();
  std::uint32_t m_slots = 8;
  std::uint32_t m_connections = 64;
  double m_workerCores = 16.0;
  std::uint32_t m_workerMemoryMb = 32768;
  /** Puts a proxy into each link; see ClusterLayout. */
  bool m_proxies = false;
  /** Member N is in zone N modulo this number. */
  std::uint32_t m_zones = 1;
  /** JSON merge patches of the settings. */
  nlohmann::json m_entrySettings = nlohmann::json::object();
  nlohmann::json m_agentSettings = nlohmann::json::object();
};

/** One process of the cluster. */
struct MemberSpec
{
  /** "store", "proxy", "entry-1", "agent-1", "endpoint-1", "worker-1" ... */
  std::string m_name;
  ProcessSpec m_process;
};

/**
 * The addresses, settings files and command lines of a cluster. With proxies
 * its links are, by name:
 * - caller/entry-N: callers to the entry;
 * - store/entry-N: the entry to the store;
 * - peers/entry-N: other entries to the entry's messages;
 * - agent-M/entry-N: the agent to the entry's messages;
 * - agent-M/endpoint: the agent to its endpoint;
 * - worker-N: agents to the worker.
 */
class ClusterLayout
{
public:
  /** Writes the settings files.
   * @param aDirectory of settings, logs and journals. */
  ClusterLayout(const ClusterOptions& aOptions, const std::string& aDirectory);

  /** @return the processes, in the order in which to start them. */
  const std::vector<MemberSpec>& Members() const { return m_members; }

  /** @return where callers reach entry @p aNumber, counted from 1. */
  std::string CallerUrl(std::uint32_t aNumber) const;

  /** @return where the HTTP server of a process listens, past all proxies. */
  std::string DirectUrl(const std::string& aMember) const;

  /** @return the place of a link among the proxy's links.
   * @throws std::out_of_range if there is no such link. */
  std::size_t LinkIndex(const std::string& aLink) const;

  std::string JournalPath(const std::string& aMember) const;

private:
  struct Link
  {
    std::string m_name;
    std::uint16_t m_listen = 0;
    std::uint16_t m_target = 0;
  };

  void PickPorts();
  void AddStore();
  void AddEntry(std::uint32_t aNumber);
  void AddAgent(std::uint32_t aNumber);
  void AddEndpoint(std::uint32_t aNumber);
  void AddWorker(std::uint32_t aNumber);
  void AddProxy();
  void Add(const std::string& aName,
           const std::string& aProgram,
           std::vector<std::string> aArguments);
  void AddDaemon(const std::string& aName, nlohmann::json aSettings);
  std::vector<std::string> ListenArguments(const std::string& aName) const;

  /** @return the port to use for a link to @p aTarget: its own or a proxy's. */
  std::uint16_t Via(const std::string& aLink, std::uint16_t aTarget);
  std::string Url(const char* aScheme, std::uint16_t aPort) const;

  ClusterOptions m_options;
  std::string m_directory;
  PortPicker m_ports;
  std::map<std::string, std::uint16_t> m_httpPorts;
  std::map<std::string, std::uint16_t> m_messagePorts;
  std::map<std::uint32_t, std::string> m_callerUrls;
  std::vector<Link> m_links;
  std::vector<MemberSpec> m_members;
};

} // namespace mulberrysail::testsupport
