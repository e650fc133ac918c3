#include "core/types/configuration.h"

#include "input/boundedjson.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace mulberrysail::core {

namespace {

using nlohmann::json;

/** One day; a longer time is rejected as a probable mistake. */
constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;
constexpr std::size_t kMaxNameLength = 64;
/** A larger factor is rejected as a probable mistake. */
constexpr double kMaxFactor = 1000;

using Faults = std::vector<std::string>;

/** Reads the fields of one JSON object and collects their errors. */
class ObjectReader
{
public:
  /** @param aObject the object to read; must outlive the reader.
   * @param aPath the object's path, which ends in a dot; empty for the root.
   * @param aFaults receives the error texts. */
  ObjectReader(const json& aObject, std::string aPath, Faults& aFaults)
    : m_object(aObject)
    , m_path(std::move(aPath))
    , m_faults(aFaults)
  {
  }

  void Read(const char* aName, Duration& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value == nullptr) {
      return;
    }
    const std::uint64_t number = PositiveIntegerOrZero(*value);
    if (number == 0) {
      AddFault(aName, "a positive whole number of milliseconds is expected");
    } else if (number > kMaxMilliseconds) {
      AddFault(aName, "more than a day");
    } else {
      aTarget = std::chrono::milliseconds(number);
    }
  }

  void ReadPositive(const char* aName, std::uint32_t& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value != nullptr) {
      StoreNumber(aName,
                  PositiveIntegerOrZero(*value),
                  1,
                  "a positive whole number",
                  aTarget);
    }
  }

  void ReadNonNegative(const char* aName, std::uint32_t& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value != nullptr) {
      const bool zero = value->is_number_integer() && *value == 0;
      StoreNumber(aName,
                  PositiveIntegerOrZero(*value),
                  zero ? 0 : 1,
                  "a whole number, zero or more,",
                  aTarget);
    }
  }

  void Read(const char* aName, bool& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value == nullptr) {
      return;
    }
    if (value->is_boolean()) {
      aTarget = value->get<bool>();
    } else {
      AddFault(aName, "true or false is expected");
    }
  }

  void Read(const char* aName, std::string& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value == nullptr) {
      return;
    }
    if (value->is_string()) {
      aTarget = value->get<std::string>();
    } else {
      AddFault(aName, "a text is expected");
    }
  }

  void ReadFactor(const char* aName, double& aTarget)
  {
    const json* const value = FindMember(aName);
    if (value == nullptr) {
      return;
    }
    const double number = value->is_number() ? value->get<double>() : 0;
    if (number > 0 && number <= kMaxFactor) {
      aTarget = number;
    } else {
      AddFault(aName, "a positive number of at most 1000 is expected");
    }
  }

  /** Reads a duration like Read(), but also accepts zero. */
  void ReadNonNegative(const char* aName, Duration& aTarget)
  {
    const auto member = m_object.find(aName);
    if (member != m_object.end() && member->is_number_integer() &&
        *member == 0) {
      m_expectedFields.insert(aName);
      aTarget = Duration::zero();
      return;
    }
    Read(aName, aTarget);
  }

  /** @return the member @p aName; null if it is absent or not an object. */
  const json* ReadObject(const char* aName)
  {
    const json* const value = FindMember(aName);
    if (value != nullptr && !value->is_object()) {
      AddFault(aName, "an object is expected");
      return nullptr;
    }
    return value;
  }

  /** Adds an error for each field that was not read. */
  void RejectUnknown()
  {
    for (const auto& item : m_object.items()) {
      if (!m_expectedFields.contains(item.key())) {
        AddFault(item.key(), "unknown field");
      }
    }
  }

private:
  /** Finds the field @p aName and records it as expected, for RejectUnknown().
   * @return its value; null if absent. */
  const json* FindMember(const char* aName)
  {
    m_expectedFields.insert(aName);
    const auto member = m_object.find(aName);
    return member == m_object.end() ? nullptr : &*member;
  }

  /** @return the number; zero if the value is not a positive whole number. */
  static std::uint64_t PositiveIntegerOrZero(const json& aValue)
  {
    return aValue.is_number_unsigned() ? aValue.get<std::uint64_t>() : 0;
  }

  void StoreNumber(const char* aName,
                   std::uint64_t aNumber,
                   std::uint64_t aMin,
                   const std::string& aExpected,
                   std::uint32_t& aTarget)
  {
    if (aNumber < aMin || aNumber > std::numeric_limits<std::uint32_t>::max()) {
      AddFault(aName, aExpected + " of at most 32 bits is expected");
    } else {
      aTarget = static_cast<std::uint32_t>(aNumber);
    }
  }

  void AddFault(const std::string& aName, const std::string& aText)
  {
    m_faults.push_back(m_path + aName + ": " + aText);
  }

  const json& m_object;
  const std::string m_path;
  Faults& m_faults;
  std::set<std::string, std::less<>> m_expectedFields;
};

bool
IsValidName(std::string_view aName)
{
  constexpr std::string_view kAllowed =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         aName.find_first_not_of(kAllowed) == std::string_view::npos;
}

ServiceConfig
ReadService(const json& aObject, const std::string& aPath, Faults& aFaults)
{
  ServiceConfig service;
  ObjectReader reader(aObject, aPath, aFaults);
  reader.Read("expected_run_ms", service.m_expectedRun);
  reader.Read("default_deadline_ms", service.m_defaultDeadline);
  reader.ReadPositive("max_open", service.m_maxOpen);
  reader.Read("admission", service.m_admission);
  reader.Read("enabled", service.m_enabled);
  reader.RejectUnknown();
  return service;
}

TeamConfig
ReadTeam(const json& aObject, const std::string& aPath, Faults& aFaults)
{
  TeamConfig team;
  ObjectReader reader(aObject, aPath, aFaults);
  reader.ReadPositive("weight", team.m_weight);
  reader.ReadNonNegative("max_open", team.m_maxOpen);
  reader.RejectUnknown();
  return team;
}

QueueConfig
ReadQueue(const json& aObject, const std::string& aPath, Faults& aFaults)
{
  QueueConfig queue;
  ObjectReader reader(aObject, aPath, aFaults);
  reader.Read("host", queue.m_host);
  reader.Read("prefix", queue.m_prefix);
  reader.Read("service", queue.m_service);
  reader.ReadNonNegative("priority", queue.m_priority);
  reader.Read("timeout_ms", queue.m_timeout);
  reader.ReadPositive("max_attempts", queue.m_maxAttempts);
  reader.ReadFactor("slack_factor", queue.m_slackFactor);
  reader.ReadNonNegative("target_duration_ms", queue.m_targetDuration);
  reader.RejectUnknown();
  if (queue.m_prefix.empty() || queue.m_prefix.front() != '/') {
    aFaults.push_back(aPath + "prefix: a path that begins with / is expected");
  }
  return queue;
}

/** Reads an object that maps names to values of one type.
 * @param aObject the object; null if absent.
 * @param aReadOne reads one value. */
template<typename Value, typename ReadOne>
void
ReadMembers(const json* aObject,
            const std::string& aPath,
            ReadOne aReadOne,
            std::map<std::string, Value, std::less<>>& aTarget,
            Faults& aFaults)
{
  if (aObject == nullptr) {
    return;
  }
  for (const auto& item : aObject->items()) {
    const std::string path = aPath + "." + item.key();
    if (!IsValidName(item.key())) {
      aFaults.push_back(path + ": a name has 1 to 64 letters, digits, '-', '_' "
                               "or '.'");
    } else if (!item.value().is_object()) {
      aFaults.push_back(path + ": an object is expected");
    } else {
      aTarget.emplace(item.key(), aReadOne(item.value(), path + ".", aFaults));
    }
  }
}

std::string
Join(const Faults& aFaults)
{
  std::string text;
  for (const std::string& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  return text;
}

Configuration
ReadDocument(const json& aRoot, Faults& aFaults)
{
  Configuration configuration;
  ObjectReader reader(aRoot, "", aFaults);
  ReadMembers(reader.ReadObject("services"),
              "services",
              ReadService,
              configuration.m_services,
              aFaults);
  ReadMembers(reader.ReadObject("teams"),
              "teams",
              ReadTeam,
              configuration.m_teams,
              aFaults);
  ReadMembers(reader.ReadObject("queues"),
              "queues",
              ReadQueue,
              configuration.m_queues,
              aFaults);
  for (const auto& [name, queue] : configuration.m_queues) {
    if (!configuration.m_services.contains(queue.m_service)) {
      aFaults.push_back("queues." + name + ".service: no service is called " +
                        queue.m_service);
    }
  }
  reader.RejectUnknown();
  return configuration;
}

} // namespace

std::string_view
FindQueue(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath)
{
  std::string_view best;
  std::size_t longest = 0;
  for (const auto& [name, queue] : aConfiguration.m_queues) {
    const bool matches = aPath.starts_with(queue.m_prefix) &&
                         (queue.m_host.empty() || queue.m_host == aHost);
    if (matches && queue.m_prefix.size() > longest) {
      best = name;
      longest = queue.m_prefix.size();
    }
  }
  return best;
}

Result<Configuration>
ParseConfiguration(ConfigVersion aVersion, std::string_view aDocument)
{
  const input::JsonResult root =
    input::ParseJson(aDocument, { .m_allowsComments = true });
  if (root.has_error()) {
    return Fail(ErrorKind::InvalidPatch,
                "the document: " + root.error().m_detail);
  }
  if (!root.value().is_object()) {
    return Fail(ErrorKind::InvalidPatch, "the document: an object is expected");
  }
  Faults faults;
  Configuration configuration = ReadDocument(root.value(), faults);
  if (!faults.empty()) {
    return Fail(ErrorKind::InvalidPatch, Join(faults));
  }
  configuration.m_version = aVersion;
  return configuration;
}

} // namespace mulberrysail::core
