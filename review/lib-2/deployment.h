#pragma once

#include "record.h"
#include "runner.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mulberrysail::review {

/** What a client sends as one job with steps of tasks. */
struct Job
{
  /** 16 hexadecimal digits. */
  std::string m_id;
  nlohmann::json m_steps;
  nlohmann::json m_spec = { { "work-ms", 50 } };
  Milliseconds m_deadline{ 1500 };
};

struct DeploymentOptions
{
  std::uint32_t m_entries = 1;
  std::uint32_t m_agents = 3;
  double m_clockRate = 1;
  bool m_tellsBorn = false;
  std::vector<std::string> m_labels{ "a" };
  std::uint32_t m_milliCores = 16000;
  Milliseconds m_stopTime{ 0 };
};

/** A small deployment: entries and agents as processes of their own, with
 * settings that are rendered from the templates of the deploy file, and a store
 * and runners in this process. All addresses are loopback addresses. */
class Deployment
{
public:
  /** @throws std::runtime_error if a program cannot be started. */
  Deployment(DeploymentOptions aOptions, Record& aRecord);
  /** Kills all processes that it started. */
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts all and waits until a job completes through each entry.
   * @return false if that takes too long. */
  bool Start();

  Store& PlatformStore() { return *m_store; }
  Runner& RunnerAt(std::size_t aIndex) { return *m_runners.at(aIndex); }
  std::size_t RunnerCount() const { return m_runners.size(); }
  /** @return the runner with the name. */
  Runner& RunnerNamed(const std::string& aName);
  /** @return the runs at all runners. */
  std::vector<Run> Runs();

  /** Sends a signal to a process, such as "entry-1". */
  void Signal(const std::string& aName, int aSignal);
  /** Starts a process again that has ended. */
  void StartProcess(const std::string& aName);
  /** @return whether the process runs. */
  bool IsAlive(const std::string& aName);

  /** Sends a job to an entry, counted from 1, and waits for the answer.
   * @return the status; 0 without a response. */
  int Submit(std::uint32_t aEntry, const Job& aJob);
  std::future<int> SubmitLater(std::uint32_t aEntry, const Job& aJob);
  /** Sends a request without a body to the path of a job. */
  int CallJob(std::uint32_t aEntry,
              const std::string& aMethod,
              const std::string& aId);
  std::string EntryIp(std::uint32_t aEntry) const;
  /** Writes a configuration with the route "/photo/". */
  void WriteConfiguration(std::uint64_t aVersion);

private:
  std::string Ip(const std::string& aName) const;
  std::string Render(const std::string& aName) const;

  const DeploymentOptions m_options;
  Record& m_record;
  std::string m_directory;
  std::string m_network;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::map<std::string, pid_t> m_processes;
};

/** @return a job id that is made of @p aNumber. */
std::string
JobId(std::uint32_t aNumber);

/** Ends the case with status 2 if it has not ended after @p aTime. */
void
LimitTime(std::chrono::seconds aTime);

/** @return whether the case is played with its disruption. */
bool
HasTrouble();

} // namespace mulberrysail::review
