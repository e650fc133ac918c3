#include "deployment.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mulberrysail::review3 {

namespace {

using nlohmann::json;

constexpr const char* kProgram = "target/bin/mulberrysaild";
constexpr std::uint32_t kStoreHost = 2;
constexpr std::uint32_t kFirstEntryHost = 10;
constexpr std::uint32_t kFirstAgentHost = 50;
constexpr milliseconds kStartTimeout{ 20000 };
constexpr milliseconds kPoll{ 50 };
constexpr milliseconds kCallTimeout{ 2000 };
constexpr int kOk = 200;

std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

std::string
Render(std::string aText, const std::map<std::string, std::string>& aValues)
{
  for (const auto& [name, value] : aValues) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = aText.find(placeholder); at != std::string::npos;
         at = aText.find(placeholder, at)) {
      aText.replace(at, placeholder.size(), value);
    }
  }
  return aText;
}

std::uint32_t
Random(std::uint32_t aLeast, std::uint32_t aMost)
{
  static std::random_device sDevice;
  return std::uniform_int_distribution<std::uint32_t>(aLeast, aMost)(sDevice);
}

std::string
Join(const std::string& aAddress, std::uint16_t aPort)
{
  return aAddress + ":" + std::to_string(aPort);
}

} // namespace

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aSettingsFile,
                 const std::string& aLog)
{
  std::vector<std::string> arguments = aCommand;
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  std::string variable = "MULBERRYSAIL_NODE_FILE=" + aSettingsFile;
  std::array<char*, 2> environment{ variable.data(), nullptr };
  m_pid = fork();
  if (m_pid < 0) {
    throw std::runtime_error("cannot fork");
  }
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(pointers[0], pointers.data(), environment.data());
    _exit(127);
  }
}

Process::~Process()
{
  if (!m_ended) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
Process::Signal(int aSignal) const
{
  if (!m_ended) {
    kill(m_pid, aSignal);
  }
}

bool
Process::HasEnded()
{
  m_ended = m_ended || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
  return m_ended;
}

Deployment::Deployment(DeploymentOptions aOptions,
                       const std::string& aFolder,
                       Record& aRecord)
  : m_options(std::move(aOptions))
  , m_folder(aFolder)
  , m_record(aRecord)
{
  PickAddresses();
  WriteConfiguration();
  for (std::uint32_t i = 0; i < m_options.m_agents; ++i) {
    StartAgent(i);
  }
  for (std::uint32_t i = 0; i < m_options.m_entries; ++i) {
    StartEntry(i);
  }
  for (const std::unique_ptr<Runner>& runner : m_runners) {
    runner->StartPings();
  }
}

std::string
Deployment::Address(std::uint32_t aHost) const
{
  return m_network + std::to_string(aHost);
}

std::string
Deployment::EntryAddress(std::uint32_t aIndex) const
{
  return Address(kFirstEntryHost + aIndex);
}

std::string
Deployment::AgentAddress(std::uint32_t aIndex) const
{
  return Address(kFirstAgentHost + aIndex);
}

void
Deployment::PickAddresses()
{
  constexpr int kTries = 20;
  for (int i = 0; i < kTries && !m_store; ++i) {
    m_network = "127." + std::to_string(Random(64, 250)) + "." +
                std::to_string(Random(1, 250)) + ".";
    try {
      m_store = std::make_unique<Store>(Address(kStoreHost), kStorePort);
    } catch (const std::runtime_error& error) {
      m_record.Add(error.what());
    }
  }
  if (!m_store) {
    throw std::runtime_error("no free loopback address");
  }
}

void
Deployment::WriteConfiguration()
{
  json route = { { "name", "q-1" },          { "host", kRouteHost },
                 { "prefix", kRoutePrefix }, { "kind", "non_idempotent" },
                 { "service", kService },    { "priority", 0 } };
  route.update(m_options.m_route);
  const json config = { { "version", 3 },
                        { "routes", json::array({ route }) },
                        { "services",
                          json::array({ { { "name", kService },
                                          { "max-connections", 64 },
                                          { "admission-check", false } } }) },
                        { "limits", json::object() } };
  m_store->Put("op/config", config.dump());
}

std::unique_ptr<Process>
Deployment::StartDaemon(const std::string& aRole,
                        const std::string& aName,
                        const std::map<std::string, std::string>& aValues)
{
  const std::string settings = m_folder + "/" + aName + ".json";
  std::ofstream(settings) << Render(ReadFile("deploy/" + aRole + ".json"),
                                    aValues);
  return std::make_unique<Process>(
    std::vector<std::string>{ kProgram, "--settings", settings },
    settings,
    m_folder + "/" + aName + ".log");
}

void
Deployment::StartEntry(std::uint32_t aIndex)
{
  const std::string name = "edge-" + std::to_string(aIndex + 1);
  const std::string address = EntryAddress(aIndex);
  m_entries.push_back(StartDaemon(
    "entry",
    name,
    { { "node-name", name },
      { "zone", "z1" },
      { "ip", address },
      { "internal-port-range.1", "7735" },
      { "listen-addrs.frontend", Join(address, kFrontendPort) },
      { "listen-addrs.readiness", Join(address, kReadinessPort) },
      { "limits.cpu-share", "0.25" },
      { "platform.address", Join(Address(kStoreHost), kStorePort) } }));
}

void
Deployment::StartAgent(std::uint32_t aIndex)
{
  const std::string number = std::to_string(aIndex + 1);
  const std::string name = "side-" + number;
  const std::string address = AgentAddress(aIndex);
  RunnerOptions runner;
  runner.m_id = "i-" + number;
  runner.m_service = kService;
  runner.m_zone = "z1";
  runner.m_rack = "r1-" + number;
  runner.m_address = address;
  runner.m_port = kRunnerPort;
  runner.m_controlPort = kControlPort;
  runner.m_statesBorn = m_options.m_statesBorn;
  runner.m_firstRetransmission = m_options.m_firstRetransmission;
  m_runners.push_back(std::make_unique<Runner>(runner, m_record));
  m_agents.push_back(StartDaemon(
    "agent",
    name,
    { { "node-name", name },
      { "zone", "z1" },
      { "ip", address },
      { "listen-addrs.control", Join(address, kControlPort) },
      { "app", Join(address, kRunnerPort) },
      { "platform.address", Join(Address(kStoreHost), kStorePort) } }));
}

bool
Deployment::IsReady(std::uint32_t aEntry) const
{
  const std::optional<HttpResponse> response = Call(EntryAddress(aEntry),
                                                    kReadinessPort,
                                                    "GET",
                                                    "/readyz",
                                                    {},
                                                    "",
                                                    kCallTimeout);
  return response && response->m_status == kOk;
}

void
Deployment::WaitUntilServing()
{
  const Instant until = Now() + kStartTimeout;
  std::set<std::uint32_t> ready;
  std::set<std::size_t> used;
  while (Now() < until) {
    for (std::uint32_t i = 0; i < m_options.m_entries; ++i) {
      if (IsReady(i)) {
        ready.insert(i);
      }
    }
    if (ready.size() == m_options.m_entries) {
      Call(EntryAddress(0),
           kFrontendPort,
           "POST",
           kRoutePrefix + MakeJobId(),
           CallFields(milliseconds(1500)),
           MakeBody({ .m_tasksPerStep = m_options.m_agents,
                      .m_length = milliseconds(20),
                      .m_milliCores = RunnerOptions().m_milliCores }),
           kCallTimeout);
    }
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
      if (!m_runners[i]->BegunRuns().empty()) {
        used.insert(i);
      }
    }
    if (used.size() == m_runners.size()) {
      m_record.Add("all entries are ready and all runners have run tasks");
      return;
    }
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("the deployment doesn't serve in time");
}

std::string
MakeJobId()
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kLength = 16;
  std::string id;
  while (id.size() < kLength) {
    id.push_back(kDigits[Random(0, kDigits.size() - 1)]);
  }
  return id;
}

std::string
MakeBody(const Job& aJob)
{
  json steps = json::array();
  for (std::uint32_t i = 0; i < aJob.m_steps; ++i) {
    json step = { { "count", aJob.m_tasksPerStep },
                  { "cpu", aJob.m_milliCores },
                  { "mem-mb", 64 },
                  { "estimate-ms", aJob.m_length.count() } };
    if (!aJob.m_rack.empty()) {
      step["affinity"] = aJob.m_rack;
    }
    if (i > 0) {
      step["after"] = json::array({ i - 1 });
    }
    steps.push_back(step);
  }
  return json{
    { "spec", json{ { "run_ms", aJob.m_length.count() } }.dump() },
    { "best-effort", true },
    { "steps", steps }
  }.dump();
}

HttpFields
CallFields(milliseconds aDeadline)
{
  return { { "Host", kRouteHost },
           { "Deadline-Ms", std::to_string(aDeadline.count()) } };
}

} // namespace mulberrysail::review3
