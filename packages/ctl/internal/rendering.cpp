#include "ctl/internal/rendering.h"

#include "ctl/internal/texttable.h"

#include <nlohmann/json.hpp>

namespace mulberrysail::ctl {

namespace {

using Json = nlohmann::json;

constexpr int kIndent = 2;

/** @return a value as a word: strings without quotes, yes and no. */
std::string
Word(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  return aValue.is_null() ? "-" : aValue.dump();
}

std::string
Field(const Json& aObject, const std::string& aName)
{
  return aObject.is_object() ? Word(aObject.value(aName, Json())) : "-";
}

/** @return a table of the given fields, one row for each object. */
std::string
RenderList(const Json& aList, const std::vector<std::string>& aFields)
{
  TextTable table(aFields);
  for (const Json& object : aList) {
    std::vector<std::string> row;
    row.reserve(aFields.size());
    for (const std::string& field : aFields) {
      row.push_back(Field(object, field));
    }
    table.AddRow(std::move(row));
  }
  return table.Text();
}

/** @return "name: value" lines; of nested objects, "outer.name: value". */
std::string
RenderFields(const Json& aObject, const std::string& aPrefix = "")
{
  std::string text;
  for (const auto& [name, value] : aObject.items()) {
    text += value.is_object() ? RenderFields(value, aPrefix + name + ".")
                              : aPrefix + name + ": " + Word(value) + "\n";
  }
  return text;
}

std::string
RenderEndpoints(const Json& aAgents)
{
  TextTable table({ "agent",
                    "zone",
                    "service",
                    "slots",
                    "free",
                    "connections",
                    "queued",
                    "leaving" });
  for (const Json& agent : aAgents) {
    const Json endpoint = agent.value("endpoint", Json());
    const Json load = agent.value("load", Json());
    const bool leaving =
      agent.value("leaving", false) ||
      (endpoint.is_object() && endpoint.value("leaving", false));
    table.AddRow({ Field(agent, "name"),
                   Field(agent, "zone"),
                   Field(endpoint, "service"),
                   Field(endpoint, "slots"),
                   Field(load, "free_slots"),
                   Field(endpoint, "connections"),
                   Field(load, "queued_requests"),
                   Word(leaving) });
  }
  return table.Text();
}

/** @return a table of the drained zones, and the agents whose copy of the list
 * is out of date, which also counts while the last drain is ended. */
std::string
RenderDrains(const Json& aBody)
{
  return RenderList(
           aBody.at("zones"),
           { "zone", "since_ms", "agents", "acknowledged", "open_attempts" }) +
         "agents in touch that have not acknowledged: " +
         Word(aBody.at("unacknowledged_agents")) + "\n";
}

/** Renders the answer to each command. */
struct Renderer
{
  const Json& m_body;

  std::string operator()(const SubmitRequestCommand& /*aCommand*/) const
  {
    return m_body.at("output").get<std::string>() + "\n";
  }

  std::string operator()(const SubmitJobCommand& /*aCommand*/) const
  {
    if (!m_body.contains("outputs")) {
      return m_body.at("submission").get<std::string>() + "\n";
    }
    std::string text;
    for (const Json& output : m_body.at("outputs")) {
      text += output.get<std::string>() + "\n";
    }
    return text;
  }

  std::string operator()(const CancelCommand& /*aCommand*/) const
  {
    return "cancelled\n";
  }

  std::string operator()(const StatusCommand& /*aCommand*/) const
  {
    return RenderFields(m_body);
  }

  std::string operator()(const ServicesCommand& /*aCommand*/) const
  {
    return RenderList(
      m_body.at("services"),
      { "name", "enabled", "endpoints", "slots", "free_slots" });
  }

  std::string operator()(const ConfigGetCommand& /*aCommand*/) const
  {
    return "// version " + Word(m_body.at("version")) + "\n" +
           m_body.at("document").dump(kIndent) + "\n";
  }

  std::string operator()(const PatchCommand& /*aCommand*/) const
  {
    return "accepted as version " + Word(m_body.at("version")) + "\n";
  }

  std::string operator()(const DrainCommand& /*aCommand*/) const
  {
    return "draining\n";
  }

  std::string operator()(const ChangeDrainCommand& aCommand) const
  {
    return aCommand.m_zone +
           (aCommand.m_drained ? ": drained\n" : ": no longer drained\n");
  }

  std::string operator()(const DrainsCommand& /*aCommand*/) const
  {
    return RenderDrains(m_body);
  }

  std::string operator()(const EndpointsCommand& /*aCommand*/) const
  {
    return RenderEndpoints(m_body.at("agents"));
  }

  std::string operator()(const WorkersCommand& /*aCommand*/) const
  {
    return RenderList(m_body.at("workers"),
                      { "name",
                        "agent",
                        "rack",
                        "cores",
                        "memory_mb",
                        "accelerators",
                        "quarantined" });
  }

  template<typename Other>
  std::string operator()(const Other& /*aCommand*/) const
  {
    return m_body.dump(kIndent) + "\n";
  }
};

} // namespace

std::string
RenderAnswer(const Command& aCommand, std::string_view aBody)
{
  try {
    const Json body = aBody.empty() ? Json::object() : Json::parse(aBody);
    return std::visit(Renderer{ body }, aCommand);
  } catch (const Json::exception&) {
    return std::string(aBody) + "\n";
  }
}

} // namespace mulberrysail::ctl
