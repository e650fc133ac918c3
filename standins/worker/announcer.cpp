#include "standins/worker/announcer.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::standins {

namespace {

constexpr Micros kLocatePeriod = std::chrono::seconds(30);
constexpr Micros kLocateRetry = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr int kOk = 200;

std::vector<std::string>
AgentsOf(const network::HttpOutcome& aOutcome)
{
  const nlohmann::json body =
    nlohmann::json::parse(aOutcome.m_body, nullptr, false);
  std::vector<std::string> agents;
  if (!body.is_object() || !body.contains("agents")) {
    return agents;
  }
  for (const nlohmann::json& agent : body["agents"]) {
    if (agent.is_string()) {
      agents.push_back(agent.get<std::string>());
    }
  }
  return agents;
}

} // namespace

Announcer::Announcer(EventLoop& aLoop,
                     network::IHttpClient& aClient,
                     AnnouncerOptions aOptions,
                     std::function<nlohmann::json()> aAnnouncement,
                     std::function<void()> aOnLeavingKnown)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_options(std::move(aOptions))
  , m_announcement(std::move(aAnnouncement))
  , m_onLeavingKnown(std::move(aOnLeavingKnown))
{
}

void
Announcer::Start()
{
  EachPeriod();
}

void
Announcer::EachPeriod()
{
  AnnounceNow();
  m_loop.After(m_options.m_period, [this] { EachPeriod(); });
}

void
Announcer::AnnounceNow()
{
  if (MonotonicNow() >= m_locateAt) {
    Locate(0);
  }
  Announce(0);
}

void
Announcer::Locate(std::size_t aEntry)
{
  if (aEntry == 0 && std::exchange(m_locating, true)) {
    return;
  }
  if (aEntry >= m_options.m_entryUrls.size()) {
    m_locating = false;
    m_loop.After(kLocateRetry, [this] { Locate(0); });
    return;
  }
  Post(m_options.m_entryUrls[aEntry] + "/v1/workers/locate",
       { { "name", m_options.m_workerName } },
       [this, aEntry](const network::HttpOutcome& aOutcome) {
         Located(aEntry, aOutcome);
       });
}

void
Announcer::Located(std::size_t aEntry, const network::HttpOutcome& aOutcome)
{
  std::vector<std::string> agents;
  if (aOutcome.m_status == kOk) {
    agents = AgentsOf(aOutcome);
  }
  if (agents.empty()) {
    Locate(aEntry + 1);
    return;
  }
  m_locating = false;
  m_locateAt = MonotonicNow() + kLocatePeriod;
  if (agents != m_agentUrls) {
    m_agentUrls = std::move(agents);
    Announce(0);
  }
}

void
Announcer::Announce(std::size_t aAgent)
{
  if (m_agentUrls.empty()) {
    return;
  }
  if (aAgent >= m_agentUrls.size()) {
    m_agentUrls.clear();
    Locate(0);
    return;
  }
  const nlohmann::json body = m_announcement();
  const bool leaving = body.value("leaving", false);
  Post(m_agentUrls[aAgent] + "/v1/workers",
       body,
       [this, aAgent, leaving](const network::HttpOutcome& aOutcome) {
         Announced(aAgent, leaving, aOutcome);
       });
}

void
Announcer::Announced(std::size_t aAgent,
                     bool aLeaving,
                     const network::HttpOutcome& aOutcome)
{
  if (aOutcome.m_status != kOk) {
    m_locateAt = Micros::zero();
    Announce(aAgent + 1);
    return;
  }
  if (aLeaving) {
    m_onLeavingKnown();
  }
}

void
Announcer::Post(const std::string& aUrl,
                const nlohmann::json& aBody,
                OutcomeHandler aHandler)
{
  network::HttpCall call;
  call.m_url = aUrl;
  call.m_headers["Content-Type"] = "application/json";
  call.m_body = aBody.dump();
  call.m_timeout = kCallTimeout;
  m_client.Call(std::move(call),
                [this, handler = std::move(aHandler)](
                  const network::HttpOutcome& aOutcome) {
                  m_loop.Post([handler, aOutcome] { handler(aOutcome); });
                });
}

} // namespace mulberrysail::standins
