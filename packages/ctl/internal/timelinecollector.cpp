#include "ctl/internal/timelinecollector.h"

#include "ctl/internal/failure.h"
#include "telemetry/timelinejson.h"
#include "telemetry/timelineview.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <set>
#include <utility>

namespace mulberrysail::ctl {

namespace {

using Json = nlohmann::json;
using telemetry::TimelineEvent;

/** @return the addresses in an answer to GET /v1/agents. */
std::vector<std::string>
AgentUrls(const std::string& aBody)
{
  std::vector<std::string> urls;
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return urls;
  }
  for (const Json& agent : body.value("agents", Json::array())) {
    if (agent.is_object() && agent.contains("http_url")) {
      urls.push_back(agent.at("http_url").get<std::string>());
    }
  }
  return urls;
}

/** Asks processes for their events and notes who didn't answer. */
class TimelineCollector
{
public:
  TimelineCollector(ApiClient& aClient, std::ostream& aErrors)
    : m_client(aClient)
    , m_errors(aErrors)
  {
  }

  bool Complete() const { return m_complete; }

  std::vector<std::string> FindAgents(std::span<const std::string> aEntries)
  {
    const ApiCall call = *MakeApiCall(EndpointsCommand{});
    std::set<std::string> urls;
    for (const std::string& body : Bodies(aEntries, call)) {
      const std::vector<std::string> found = AgentUrls(body);
      urls.insert(found.begin(), found.end());
    }
    return { urls.begin(), urls.end() };
  }

  void Collect(std::span<const std::string> aProcesses,
               const TimelineCommand& aCommand)
  {
    for (const std::string& body : Bodies(aProcesses, *MakeApiCall(aCommand))) {
      core::Result<std::vector<TimelineEvent>> events =
        telemetry::TimelineFromJson(body);
      if (events) {
        m_timelines.push_back(std::move(events).value());
      } else {
        m_complete = false;
        m_errors << "mulberryctl: no time line: " << events.error().m_detail
                 << '\n';
      }
    }
  }

  std::vector<TimelineEvent> Merged() const
  {
    return telemetry::MergeTimelines(m_timelines);
  }

private:
  /** @return the bodies of all successful answers. */
  std::vector<std::string> Bodies(std::span<const std::string> aProcesses,
                                  const ApiCall& aCall)
  {
    std::vector<network::HttpOutcome> outcomes =
      m_client.CallAll(aProcesses, aCall);
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      if (Succeeded(outcomes[i])) {
        bodies.push_back(std::move(outcomes[i].m_body));
        continue;
      }
      m_complete = false;
      m_errors << "mulberryctl: " << aProcesses[i] << ": "
               << DescribeFailure(aCall, outcomes[i]).m_text << '\n';
    }
    return bodies;
  }

  ApiClient& m_client;
  std::ostream& m_errors;
  std::vector<std::vector<TimelineEvent>> m_timelines;
  bool m_complete = true;
};

} // namespace

ExitCode
PrintTimeline(const TimelineCommand& aCommand,
              std::span<const std::string> aEntries,
              ApiClient& aClient,
              std::ostream& aOut,
              std::ostream& aErrors)
{
  TimelineCollector collector(aClient, aErrors);
  collector.Collect(aEntries, aCommand);
  collector.Collect(collector.FindAgents(aEntries), aCommand);
  const std::vector<TimelineEvent> events = collector.Merged();
  if (aCommand.m_chrome) {
    aOut << telemetry::TimelineAsChromeTrace(events) << '\n';
  } else {
    aOut << telemetry::TimelineAsText(events);
  }
  return collector.Complete() ? ExitCode::Done : ExitCode::CantConnect;
}

} // namespace mulberrysail::ctl
