#include "support/clusterlayout.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace mulberrysail::testsupport {

namespace {

using nlohmann::json;

constexpr const char* kProgramDirectory = MULBERRYSAIL_PROGRAMS;

std::string
Numbered(const char* aKind, std::uint32_t aNumber)
{
  return std::string(aKind) + "-" + std::to_string(aNumber);
}

void
AppendListed(std::string& aList, const std::string& aItem)
{
  aList += (aList.empty() ? "" : ",") + aItem;
}

} // namespace

ClusterLayout::ClusterLayout(const ClusterOptions& aOptions,
                             const std::string& aDirectory)
  : m_options(aOptions)
  , m_directory(aDirectory)
{
  PickPorts();
  AddStore();
  for (std::uint32_t number = 1; number <= m_options.m_entries; ++number) {
    AddEntry(number);
  }
  for (std::uint32_t number = 1; number <= m_options.m_agents; ++number) {
    AddAgent(number);
    AddEndpoint(number);
  }
  for (std::uint32_t number = 1; number <= m_options.m_workers; ++number) {
    AddWorker(number);
  }
  if (m_options.m_proxies) {
    AddProxy();
  }
}

std::string
ClusterLayout::CallerUrl(std::uint32_t aNumber) const
{
  return m_callerUrls.at(aNumber);
}

std::string
ClusterLayout::DirectUrl(const std::string& aMember) const
{
  return Url("http", m_httpPorts.at(aMember));
}

std::size_t
ClusterLayout::LinkIndex(const std::string& aLink) const
{
  const auto link =
    std::find_if(m_links.begin(), m_links.end(), [&](const Link& aCandidate) {
      return aCandidate.m_name == aLink;
    });
  if (link == m_links.end()) {
    throw std::out_of_range("no link " + aLink);
  }
  return static_cast<std::size_t>(link - m_links.begin());
}

std::string
ClusterLayout::JournalPath(const std::string& aMember) const
{
  return m_directory + "/" + aMember + ".journal";
}

void
ClusterLayout::PickPorts()
{
  m_httpPorts["store"] = m_ports.Pick();
  m_httpPorts["proxy"] = m_ports.Pick();
  for (std::uint32_t number = 1; number <= m_options.m_entries; ++number) {
    m_httpPorts[Numbered("entry", number)] = m_ports.Pick();
    m_messagePorts[Numbered("entry", number)] = m_ports.Pick();
  }
  for (std::uint32_t number = 1; number <= m_options.m_agents; ++number) {
    m_httpPorts[Numbered("agent", number)] = m_ports.Pick();
    m_httpPorts[Numbered("endpoint", number)] = m_ports.Pick();
  }
  for (std::uint32_t number = 1; number <= m_options.m_workers; ++number) {
    m_httpPorts[Numbered("worker", number)] = m_ports.Pick();
  }
}

void
ClusterLayout::AddStore()
{
  Add("store", "standin_store", ListenArguments("store"));
}

void
ClusterLayout::AddEntry(std::uint32_t aNumber)
{
  const std::string name = Numbered("entry", aNumber);
  const std::uint16_t http = m_httpPorts.at(name);
  const std::uint16_t messages = m_messagePorts.at(name);
  const std::uint16_t store = Via("store/" + name, m_httpPorts.at("store"));
  m_callerUrls[aNumber] = Url("http", Via("caller/" + name, http));
  json settings = {
    { "role", "entry" },
    { "http", { { "address", m_ports.Address() }, { "port", http } } },
    { "messages", { { "address", m_ports.Address() }, { "port", messages } } },
    { "advertise",
      { { "http_url", Url("http", http) },
        { "message_url", Url("tcp", Via("peers/" + name, messages)) } } },
    { "store", { { "urls", { Url("http", store) } } } }
  };
  settings.merge_patch(m_options.m_entrySettings);
  AddDaemon(name, std::move(settings));
}

void
ClusterLayout::AddAgent(std::uint32_t aNumber)
{
  const std::string name = Numbered("agent", aNumber);
  json settings = { { "role", "agent" },
                    { "http",
                      { { "address", m_ports.Address() },
                        { "port", m_httpPorts.at(name) } } } };
  if (m_options.m_proxies) {
    // The store names each entry by one URL; only a list of the agent's own
    // gives it links of its own.
    for (const auto& [entry, port] : m_messagePorts) {
      settings["entries"].push_back(
        Url("tcp", Via(std::string(name) + "/" + entry, port)));
    }
  } else {
    settings["store"]["urls"] = { DirectUrl("store") };
  }
  settings.merge_patch(m_options.m_agentSettings);
  AddDaemon(name, std::move(settings));
}

void
ClusterLayout::AddEndpoint(std::uint32_t aNumber)
{
  const std::string name = Numbered("endpoint", aNumber);
  const std::string agent = Numbered("agent", aNumber);
  const std::uint16_t port = Via(agent + "/endpoint", m_httpPorts.at(name));
  std::vector<std::string> arguments = ListenArguments(name);
  arguments.insert(arguments.end(),
                   { "--agent=" + DirectUrl(agent),
                     "--announce-url=" + Url("http", port),
                     "--service=" + m_options.m_service,
                     "--slots=" + std::to_string(m_options.m_slots),
                     "--connections=" + std::to_string(m_options.m_connections),
                     "--journal=" + JournalPath(name) });
  Add(name, "standin_endpoint", std::move(arguments));
}

void
ClusterLayout::AddWorker(std::uint32_t aNumber)
{
  const std::string name = Numbered("worker", aNumber);
  std::string entries;
  for (const auto& [entry, port] : m_messagePorts) {
    AppendListed(entries, DirectUrl(entry));
  }
  const std::uint16_t port = Via(name, m_httpPorts.at(name));
  std::vector<std::string> arguments = ListenArguments(name);
  arguments.insert(
    arguments.end(),
    { "--entries=" + entries,
      "--announce-url=" + Url("http", port),
      "--name=" + name,
      "--cores=" + std::to_string(m_options.m_workerCores),
      "--memory-mb=" + std::to_string(m_options.m_workerMemoryMb),
      "--journal=" + JournalPath(name) });
  Add(name, "standin_worker", std::move(arguments));
}

void
ClusterLayout::AddProxy()
{
  std::string listens;
  std::string targets;
  for (const Link& link : m_links) {
    AppendListed(listens, std::to_string(link.m_listen));
    AppendListed(targets, std::to_string(link.m_target));
  }
  Add("proxy",
      "standin_proxy",
      { "--listen-address=" + m_ports.Address(),
        "--listen=" + listens,
        "--target=" + targets,
        "--control-port=" + std::to_string(m_httpPorts.at("proxy")) });
  std::rotate(m_members.begin(), m_members.end() - 1, m_members.end());
}

void
ClusterLayout::Add(const std::string& aName,
                   const std::string& aProgram,
                   std::vector<std::string> aArguments)
{
  m_members.push_back({ aName,
                        { std::string(kProgramDirectory) + "/" + aProgram,
                          std::move(aArguments),
                          m_directory + "/" + aName + ".log" } });
}

void
ClusterLayout::AddDaemon(const std::string& aName, json aSettings)
{
  aSettings["name"] = aName;
  const std::uint32_t number =
    static_cast<std::uint32_t>(std::stoul(aName.substr(aName.rfind('-') + 1)));
  aSettings["zone"] = Numbered("zone", number % m_options.m_zones);
  const std::string path = m_directory + "/" + aName + ".json";
  std::ofstream(path) << aSettings.dump(2) << '\n';
  Add(aName, "mulberrysaild", { "--settings=" + path });
}

std::vector<std::string>
ClusterLayout::ListenArguments(const std::string& aName) const
{
  return { "--listen-address=" + m_ports.Address(),
           "--listen-port=" + std::to_string(m_httpPorts.at(aName)) };
}

std::uint16_t
ClusterLayout::Via(const std::string& aLink, std::uint16_t aTarget)
{
  if (!m_options.m_proxies) {
    return aTarget;
  }
  const std::uint16_t port = m_ports.Pick();
  m_links.push_back({ aLink, port, aTarget });
  return port;
}

std::string
ClusterLayout::Url(const char* aScheme, std::uint16_t aPort) const
{
  return std::string(aScheme) + "://" + m_ports.Address() + ":" +
         std::to_string(aPort);
}

} // namespace mulberrysail::testsupport
