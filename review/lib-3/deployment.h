#pragma once

#include "record.h"
#include "runner.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::review3 {

/** Ports of a machine. They are the same on all machines, as each has a
 * loopback address of its own. */
inline constexpr std::uint16_t kFrontendPort = 8161;
inline constexpr std::uint16_t kReadinessPort = 8167;
inline constexpr std::uint16_t kControlPort = 8166;
inline constexpr std::uint16_t kRunnerPort = 8165;
inline constexpr std::uint16_t kStorePort = 8169;

/** One process of the project. It is killed with its parent. */
class Process
{
public:
  /** @param aCommand the program and its arguments.
   * @param aLog path of the file for its output. */
  Process(const std::vector<std::string>& aCommand,
          const std::string& aSettingsFile,
          const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  /** @return whether it has ended. */
  bool HasEnded();

private:
  pid_t m_pid = -1;
  bool m_ended = false;
};

struct DeploymentOptions
{
  std::uint32_t m_entries = 2;
  std::uint32_t m_agents = 3;
  /** Members of the configuration's only route, besides those that name it. */
  nlohmann::json m_route;
  /** See RunnerOptions. */
  bool m_statesBorn = false;
  milliseconds m_firstRetransmission{ 300 };
};

/** A small deployment: the project's own programs as separate processes, with
 * settings made from the templates of the deploy file, and stand-ins for the
 * platform's store and the runners. Each machine has a loopback address. */
class Deployment
{
public:
  /** @param aFolder for settings and logs.
   * @throws std::runtime_error if a part doesn't start. */
  Deployment(DeploymentOptions aOptions,
             const std::string& aFolder,
             Record& aRecord);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Process& Entry(std::uint32_t aIndex) { return *m_entries.at(aIndex); }
  Process& Agent(std::uint32_t aIndex) { return *m_agents.at(aIndex); }
  Runner& RunnerAt(std::uint32_t aIndex) { return *m_runners.at(aIndex); }
  std::size_t RunnerCount() const { return m_runners.size(); }
  std::string EntryAddress(std::uint32_t aIndex) const;

  /** @return whether an entry says that it is ready. */
  bool IsReady(std::uint32_t aEntry) const;

  /** Waits until all entries are ready and jobs have run on each runner.
   * @throws std::runtime_error if this takes too long. */
  void WaitUntilServing();

private:
  std::string Address(std::uint32_t aHost) const;
  std::string AgentAddress(std::uint32_t aIndex) const;
  void PickAddresses();
  void WriteConfiguration();
  std::unique_ptr<Process> StartDaemon(
    const std::string& aRole,
    const std::string& aName,
    const std::map<std::string, std::string>& aValues);
  void StartEntry(std::uint32_t aIndex);
  void StartAgent(std::uint32_t aIndex);

  const DeploymentOptions m_options;
  const std::string m_folder;
  Record& m_record;
  std::string m_network;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<std::unique_ptr<Process>> m_entries;
  std::vector<std::unique_ptr<Process>> m_agents;
};

/** The route's host and path in the configuration of a Deployment. */
inline constexpr const char* kRouteHost = "photo.example";
inline constexpr const char* kRoutePrefix = "/photo/";
inline constexpr const char* kService = "photo";

/** @return a new id of a job. */
std::string
MakeJobId();

/** A job that needn't be kept. Each step is after the one before it. */
struct Job
{
  std::uint32_t m_steps = 1;
  std::uint32_t m_tasksPerStep = 1;
  /** How long each task runs. */
  milliseconds m_length{};
  std::uint32_t m_milliCores = 1600;
  /** The rack that holds the data; empty for none. */
  std::string m_rack{};
};

/** @return the body that submits @p aJob. */
std::string
MakeBody(const Job& aJob);

/** @return the header fields of a call that waits for @p aDeadline. */
HttpFields
CallFields(milliseconds aDeadline);

} // namespace mulberrysail::review3
