#include "support/cluster.h"

#include "support/waituntil.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace mulberrysail::testsupport {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStartTimeout{ 30000 };
constexpr std::chrono::milliseconds kControlTimeout{ 5000 };
constexpr std::size_t kLogTail = 2000;
constexpr int kOk = 200;

std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

bool
IsEntry(const std::string& aName)
{
  return aName.starts_with("entry-");
}

/** @return the number of endpoints of a service in GET /v1/services. */
std::size_t
EndpointsOf(const json& aServices, const std::string& aService)
{
  if (!aServices.is_object()) {
    return 0;
  }
  for (const json& service : aServices.at("services")) {
    if (service.at("name") == aService) {
      return service.at("endpoints").get<std::size_t>();
    }
  }
  return 0;
}

} // namespace

Cluster::Cluster(const ClusterOptions& aOptions)
  : m_options(aOptions)
  , m_layout(aOptions, m_directory.Path())
{
}

Cluster::~Cluster()
{
  // Agents and entries first, so that none sees the others end.
  for (auto& [name, process] : m_processes) {
    process->Kill();
  }
}

void
Cluster::Start()
{
  for (const MemberSpec& member : m_layout.Members()) {
    StartMember(member);
  }
  Configure();
  FailUnless(WaitKnown(m_options.m_agents, m_options.m_workers, kStartTimeout),
             "not all endpoints and workers became known");
}

void
Cluster::StartMember(const MemberSpec& aSpec)
{
  m_processes[aSpec.m_name] = std::make_unique<Process>(aSpec.m_process);
}

void
Cluster::Restart(const std::string& aName)
{
  m_processes.erase(aName);
  for (const MemberSpec& member : m_layout.Members()) {
    if (member.m_name == aName) {
      StartMember(member);
    }
  }
}

void
Cluster::Configure()
{
  const std::string entry = m_layout.DirectUrl("entry-1");
  const json patch = {
    { "base", 0 },
    { "id", "first" },
    { "patch",
      { { "services",
          { { m_options.m_service, m_options.m_serviceConfig } } } } }
  };
  const bool accepted = WaitUntil(kStartTimeout, [&] {
    return m_http.Post(entry + "/v1/config/patches", patch).m_status == kOk;
  });
  FailUnless(accepted, "the first configuration wasn't accepted");
}

bool
Cluster::WaitKnown(std::size_t aEndpoints,
                   std::size_t aWorkers,
                   std::chrono::milliseconds aTimeout)
{
  return WaitUntil(aTimeout, [&] {
    return std::all_of(
      m_processes.begin(), m_processes.end(), [&](const auto& aMember) {
        const auto& [name, process] = aMember;
        return !IsEntry(name) || !process->Running() ||
               EntryKnows(name, aEndpoints, aWorkers);
      });
  });
}

bool
Cluster::EntryKnows(const std::string& aEntry,
                    std::size_t aEndpoints,
                    std::size_t aWorkers)
{
  const std::string url = m_layout.DirectUrl(aEntry);
  if (m_http.Get(url + "/readyz").m_status != kOk) {
    return false;
  }
  const json workers = m_http.GetJson(url + "/v1/workers");
  return workers.is_object() && workers.at("workers").size() == aWorkers &&
         EndpointsOf(m_http.GetJson(url + "/v1/services"),
                     m_options.m_service) == aEndpoints;
}

void
Cluster::SetLink(const std::string& aLink, json aFaults)
{
  aFaults["link"] = m_layout.LinkIndex(aLink);
  Control("proxy", aFaults);
}

void
Cluster::Control(const std::string& aMember, const json& aFaults)
{
  const std::string url = m_layout.DirectUrl(aMember) + "/control";
  const bool done = WaitUntil(
    kControlTimeout, [&] { return m_http.Post(url, aFaults).m_status == kOk; });
  FailUnless(done, "a stand-in didn't take its faults");
}

void
Cluster::AddJournals(JournalChecker& aChecker) const
{
  for (const MemberSpec& member : m_layout.Members()) {
    aChecker.AddJournal(ReadFile(m_layout.JournalPath(member.m_name)));
  }
}

std::string
Cluster::Logs() const
{
  std::string text;
  for (const MemberSpec& member : m_layout.Members()) {
    const std::string log = ReadFile(member.m_process.m_logPath);
    const std::size_t skipped = log.size() - std::min(log.size(), kLogTail);
    text += "\n== " + member.m_name + "\n" + log.substr(skipped);
  }
  return text;
}

void
Cluster::FailUnless(bool aReady, const char* aWhat) const
{
  if (!aReady) {
    throw std::runtime_error(aWhat + Logs());
  }
}

} // namespace mulberrysail::testsupport
