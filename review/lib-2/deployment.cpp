#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mulberrysail::review {

namespace {

using nlohmann::json;

constexpr std::uint16_t kFrontendPort = 8161;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kRunnerPort = 8170;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kMessagePort = 7721;
constexpr Milliseconds kStartTimeout{ 20000 };
constexpr Milliseconds kStep{ 100 };
constexpr Milliseconds kAnswerMargin{ 3000 };

std::set<pid_t> sStartedProcesses;

std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

std::string
Numbered(const char* aRole, std::size_t aNumber)
{
  return std::string(aRole) + "-" + std::to_string(aNumber);
}

} // namespace

Deployment::Deployment(DeploymentOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
{
  std::string name =
    std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot make " + name);
  }
  m_directory = name;
  // A network of loopback addresses for each process that plays a case.
  const unsigned pid = static_cast<unsigned>(getpid());
  m_network = "127." + std::to_string(64 + (pid / 250) % 60) + "." +
              std::to_string(1 + pid % 250) + ".";
}

Deployment::~Deployment()
{
  for (const auto& [name, pid] : m_processes) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    sStartedProcesses.erase(pid);
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_directory, ignored);
  } else {
    m_record.Add("logs are in " + m_directory);
  }
}

std::string
Deployment::Ip(const std::string& aName) const
{
  const std::size_t dash = aName.find('-');
  const int number =
    dash == std::string::npos ? 0 : std::stoi(aName.substr(dash + 1));
  const int first = aName.starts_with("entry")   ? 10
                    : aName.starts_with("agent") ? 100
                                                 : 1;
  return m_network + std::to_string(first + number);
}

std::string
Deployment::EntryIp(std::uint32_t aEntry) const
{
  return Ip(Numbered("entry", aEntry));
}

std::string
Deployment::Render(const std::string& aName) const
{
  const std::string ip = Ip(aName);
  const auto at = [&](std::uint16_t aPort) {
    return ip + ":" + std::to_string(aPort);
  };
  const std::map<std::string, std::string> values = {
    { "node-name", aName },
    { "zone", "z1" },
    { "ip", ip },
    { "internal-port-range.1", std::to_string(kMessagePort) },
    { "listen-addrs.frontend", at(kFrontendPort) },
    { "listen-addrs.readiness", at(kReadinessPort) },
    { "listen-addrs.control", at(kControlPort) },
    { "limits.cpu-share", "1" },
    { "platform.address", Ip("store") + ":" + std::to_string(kStorePort) },
    { "app", at(kRunnerPort) },
  };
  std::string text =
    ReadFile("deploy/" + aName.substr(0, aName.find('-')) + ".json");
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t place = text.find(placeholder); place != std::string::npos;
         place = text.find(placeholder, place)) {
      text.replace(place, placeholder.size(), value);
    }
  }
  return text;
}

void
Deployment::StartProcess(const std::string& aName)
{
  const std::string settings = m_directory + "/" + aName + ".json";
  std::ofstream(settings) << Render(aName);
  const std::string log = m_directory + "/" + aName + ".log";
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The process ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    execl("target/bin/mulberrysaild",
          "target/bin/mulberrysaild",
          "--settings",
          settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  m_processes[aName] = pid;
  sStartedProcesses.insert(pid);
  m_record.Add(aName + " is started");
}

bool
Deployment::Start()
{
  m_store = std::make_unique<Store>(Ip("store"), kStorePort);
  WriteConfiguration(3);
  for (std::uint32_t i = 1; i <= m_options.m_entries; ++i) {
    StartProcess(Numbered("entry", i));
  }
  for (std::uint32_t i = 1; i <= m_options.m_agents; ++i) {
    const std::string agent = Numbered("agent", i);
    StartProcess(agent);
    RunnerOptions runner;
    runner.m_name = Numbered("runner", i);
    runner.m_ip = Ip(agent);
    runner.m_port = kRunnerPort;
    runner.m_controlIp = Ip(agent);
    runner.m_controlPort = kControlPort;
    runner.m_labels = m_options.m_labels;
    runner.m_labels.push_back("r1-" + std::to_string(i));
    runner.m_clockRate = m_options.m_clockRate;
    runner.m_tellsBorn = m_options.m_tellsBorn;
    runner.m_milliCores = m_options.m_milliCores;
    runner.m_stopTime = m_options.m_stopTime;
    m_runners.push_back(std::make_unique<Runner>(runner, m_record));
  }
  const Clock::time_point until = Clock::now() + kStartTimeout;
  for (std::uint32_t entry = 1; entry <= m_options.m_entries; ++entry) {
    std::uint32_t tries = 0;
    bool served = false;
    while (!served && Clock::now() < until) {
      Job job;
      job.m_id = JobId((entry << 16U) + 0x10000000U + ++tries);
      // One task for each runner, so that all of them are known to work.
      job.m_steps = json::array({ { { "count", m_options.m_agents },
                                    { "cpu", 1000 },
                                    { "mem-mb", 64 },
                                    { "estimate-ms", 50 },
                                    { "anti-affinity", 1 } } });
      served = Submit(entry, job) == 200;
      std::this_thread::sleep_for(kStep);
    }
    if (!served) {
      return false;
    }
  }
  m_record.Add("the deployment serves");
  return true;
}

Runner&
Deployment::RunnerNamed(const std::string& aName)
{
  for (const std::unique_ptr<Runner>& runner : m_runners) {
    if (runner->Name() == aName) {
      return *runner;
    }
  }
  throw std::runtime_error("no runner is called " + aName);
}

std::vector<Run>
Deployment::Runs()
{
  std::vector<Run> runs;
  for (const std::unique_ptr<Runner>& runner : m_runners) {
    for (const Run& run : runner->Runs()) {
      runs.push_back(run);
    }
  }
  return runs;
}

void
Deployment::Signal(const std::string& aName, int aSignal)
{
  m_record.Add(aName + " gets signal " + std::to_string(aSignal));
  const pid_t pid = m_processes.at(aName);
  kill(pid, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(pid, nullptr, 0);
    m_processes.erase(aName);
    sStartedProcesses.erase(pid);
  }
}

bool
Deployment::IsAlive(const std::string& aName)
{
  const auto found = m_processes.find(aName);
  return found != m_processes.end() &&
         waitpid(found->second, nullptr, WNOHANG) == 0;
}

int
Deployment::Submit(std::uint32_t aEntry, const Job& aJob)
{
  const json body = { { "spec", aJob.m_spec.dump() },
                      { "best-effort", true },
                      { "steps", aJob.m_steps } };
  m_record.Add("client sends job " + aJob.m_id + " to entry " +
               std::to_string(aEntry) + ": " + body.dump());
  const std::optional<Response> response =
    Call(EntryIp(aEntry),
         kFrontendPort,
         "POST",
         "/photo/" + aJob.m_id,
         body.dump(),
         aJob.m_deadline + kAnswerMargin,
         { { "Host", "photo.example" },
           { "Deadline-Ms", std::to_string(aJob.m_deadline.count()) } });
  const int status = response ? response->m_status : 0;
  m_record.Add("client is answered " + std::to_string(status) + " for job " +
               aJob.m_id + " " + (response ? response->m_body : ""));
  return status;
}

std::future<int>
Deployment::SubmitLater(std::uint32_t aEntry, const Job& aJob)
{
  return std::async(std::launch::async,
                    [this, aEntry, aJob] { return Submit(aEntry, aJob); });
}

int
Deployment::CallJob(std::uint32_t aEntry,
                    const std::string& aMethod,
                    const std::string& aId)
{
  m_record.Add("client sends " + aMethod + " for job " + aId + " to entry " +
               std::to_string(aEntry));
  const std::optional<Response> response =
    Call(EntryIp(aEntry),
         kFrontendPort,
         aMethod,
         "/photo/" + aId,
         "",
         kAnswerMargin,
         { { "Host", "photo.example" } });
  const int status = response ? response->m_status : 0;
  m_record.Add("client is answered " + std::to_string(status) + " for " +
               aMethod + " of job " + aId + " " +
               (response ? response->m_body : ""));
  return status;
}

void
Deployment::WriteConfiguration(std::uint64_t aVersion)
{
  const json route = { { "name", "q-1" },       { "host", "photo.example" },
                       { "prefix", "/photo/" }, { "kind", "non_idempotent" },
                       { "timeout-ms", 1500 },  { "target-duration-ms", 60 },
                       { "service", "photo" },  { "max-attempts", 4 },
                       { "slack-factor", 1.6 }, { "priority", 1 } };
  const json config = {
    { "version", aVersion },
    { "routes", json::array({ route }) },
    { "services",
      json::array({ { { "name", "photo" }, { "admission-check", false } } }) },
    { "limits", json::object() }
  };
  m_store->Put("op/config", config.dump());
  m_record.Add("operator writes configuration " + std::to_string(aVersion));
}

std::string
JobId(std::uint32_t aNumber)
{
  std::ostringstream id;
  id << std::hex << 0xabc0000000000000ULL + aNumber;
  return id.str();
}

void
LimitTime(std::chrono::seconds aTime)
{
  std::thread([aTime] {
    std::this_thread::sleep_for(aTime);
    for (const pid_t pid : sStartedProcesses) {
      kill(pid, SIGKILL);
    }
    std::_Exit(2);
  }).detach();
}

bool
HasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace mulberrysail::review
