#include "daemon/settings/settingsreader.h"

#include "daemon/settings/settingfield.h"
#include "input/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <sstream>

namespace mulberrysail::daemon {

namespace {

using nlohmann::json;

/** Stores one JSON value through a binding. Each overload returns whether the
 * value is valid. */
class BindingReader
{
public:
  explicit BindingReader(const json& aValue)
    : m_value(aValue)
  {
  }

  bool operator()(bool* aTarget) const
  {
    if (!m_value.is_boolean()) {
      return false;
    }
    *aTarget = m_value.get<bool>();
    return true;
  }

  bool operator()(std::optional<std::uint64_t>* aTarget) const
  {
    if (!m_value.is_number_unsigned()) {
      return false;
    }
    *aTarget = m_value.get<std::uint64_t>();
    return true;
  }

  template<typename Number>
  bool operator()(const NumberBinding<Number>& aBinding) const
  {
    const std::optional<std::uint64_t> number =
      WholeNumber(aBinding.m_min, aBinding.m_max);
    if (!number) {
      return false;
    }
    *aBinding.m_value = static_cast<Number>(*number);
    return true;
  }

  bool operator()(const NumberBinding<double>& aBinding) const
  {
    if (!m_value.is_number()) {
      return false;
    }
    const double number = m_value.get<double>();
    if (!(number >= aBinding.m_min && number <= aBinding.m_max)) {
      return false;
    }
    *aBinding.m_value = number;
    return true;
  }

  bool operator()(const DurationBinding& aBinding) const
  {
    const std::optional<std::uint64_t> units =
      WholeNumber(aBinding.m_min, aBinding.m_max);
    if (!units) {
      return false;
    }
    *aBinding.m_value =
      aBinding.m_unit * static_cast<core::Duration::rep>(*units);
    return true;
  }

  bool operator()(const TextBinding& aBinding) const
  {
    if (!IsText(m_value, aBinding.m_form)) {
      return false;
    }
    *aBinding.m_value = m_value.get<std::string>();
    return true;
  }

  bool operator()(const TextListBinding& aBinding) const
  {
    if (!m_value.is_array()) {
      return false;
    }
    const auto ok = [&](const json& aItem) {
      return IsText(aItem, aBinding.m_form);
    };
    if (!std::all_of(m_value.begin(), m_value.end(), ok)) {
      return false;
    }
    *aBinding.m_values = m_value.get<std::vector<std::string>>();
    return true;
  }

  template<typename Enum>
  bool operator()(const ChoiceBinding<Enum>& aBinding) const
  {
    const std::span<const std::string_view> names = ChoiceNames(Enum{});
    const auto name =
      std::find_if(names.begin(), names.end(), [this](std::string_view aName) {
        return m_value == aName;
      });
    if (name == names.end()) {
      return false;
    }
    *aBinding.m_value = static_cast<Enum>(name - names.begin());
    return true;
  }

private:
  static bool IsText(const json& aValue, TextForm aForm)
  {
    return aValue.is_string() &&
           input::HasForm(aValue.get_ref<const std::string&>(), aForm);
  }

  std::optional<std::uint64_t> WholeNumber(std::uint64_t aMin,
                                           std::uint64_t aMax) const
  {
    if (!m_value.is_number_unsigned()) {
      return std::nullopt;
    }
    const std::uint64_t number = m_value.get<std::uint64_t>();
    if (number < aMin || number > aMax) {
      return std::nullopt;
    }
    return number;
  }

  const json& m_value;
};

/** @return the value at a dotted path, or nullptr. */
const json*
FindPath(const json& aDocument, std::string_view aPath)
{
  const json* value = &aDocument;
  while (!aPath.empty()) {
    const std::size_t dot = std::min(aPath.find('.'), aPath.size());
    const std::string name(aPath.substr(0, dot));
    if (!value->is_object() || !value->contains(name)) {
      return nullptr;
    }
    value = &(*value)[name];
    aPath.remove_prefix(std::min(dot + 1, aPath.size()));
  }
  return value;
}

/** Checks a document and builds the settings from it; collects all faults. */
class SettingsReader
{
public:
  explicit SettingsReader(const json& aDocument)
    : m_document(aDocument)
  {
  }

  core::Result<Settings> Read()
  {
    // The role decides which other fields are allowed, so it is read first.
    ReadField(SettingFields().front());
    if (m_faults.empty()) {
      RejectUnknown(m_document, "");
      ReadFields();
      CheckFieldCombinations();
    }
    if (!m_faults.empty()) {
      return core::Fail(core::ErrorKind::InvalidSettings, m_faults);
    }
    ChoosePlacement();
    m_settings.m_entryPolicy.m_zone = m_settings.m_zone;
    m_settings.m_agentPolicy.m_zone = m_settings.m_zone;
    return std::move(m_settings);
  }

private:
  void AddFault(std::string_view aPath, std::string_view aFault)
  {
    m_faults += m_faults.empty() ? "" : "\n";
    m_faults += std::string(aPath) + ": " + std::string(aFault);
  }

  void ReadFields()
  {
    for (const SettingField& field : SettingFields().subspan(1)) {
      if (IsForRole(field, m_settings.m_role)) {
        ReadField(field);
      }
    }
  }

  void ReadField(const SettingField& aField)
  {
    const FieldBinding binding = aField.m_bind(m_settings);
    const json* value = FindPath(m_document, aField.m_path);
    if (value == nullptr) {
      if (aField.m_required) {
        AddFault(aField.m_path, "required: " + DescribeForm(binding));
      }
      return;
    }
    if (!std::visit(BindingReader(*value), binding)) {
      AddFault(aField.m_path, "expected " + DescribeForm(binding));
    }
  }

  void RejectUnknown(const json& aObject, const std::string& aPrefix)
  {
    for (auto item = aObject.begin(); item != aObject.end(); ++item) {
      const std::string path = aPrefix + item.key();
      if (IsGroup(path)) {
        if (item->is_object()) {
          RejectUnknown(*item, path + ".");
        } else {
          AddFault(path, "expected an object");
        }
      } else if (!IsField(path)) {
        AddFault(path, "there is no such field for this role");
      }
    }
  }

  bool IsField(std::string_view aPath) const
  {
    return std::any_of(SettingFields().begin(),
                       SettingFields().end(),
                       [&](const SettingField& aField) {
                         return aField.m_path == aPath &&
                                IsForRole(aField, m_settings.m_role);
                       });
  }

  static bool IsGroup(const std::string& aPath)
  {
    return std::any_of(SettingFields().begin(),
                       SettingFields().end(),
                       [&](const SettingField& aField) {
                         return aField.m_path.starts_with(aPath + ".");
                       });
  }

  void CheckFieldCombinations()
  {
    const bool agent = m_settings.m_role == Role::Agent;
    if (agent && m_settings.m_entries.empty() &&
        m_settings.m_storeUrls.empty()) {
      AddFault("entries", "an agent requires `entries` or `store.urls`");
    }
    if (!agent && m_settings.m_storeUrls.empty()) {
      AddFault("store.urls", "an entry requires at least one store URL");
    }
    CheckAdapter(agent);
    CheckAdvertised(m_settings.m_http.m_address,
                    m_settings.m_advertise.m_httpUrl,
                    "advertise.http_url");
    if (!agent) {
      CheckAdvertised(m_settings.m_messages.m_address,
                      m_settings.m_advertise.m_messageUrl,
                      "advertise.message_url");
      CheckForwarding();
    }
  }

  void CheckForwarding()
  {
    const core::EntryPolicy& policy = m_settings.m_entryPolicy;
    if (policy.m_shedConnections && m_settings.m_shards > 1) {
      AddFault("policy.shed_connections",
               "requires `shards` 1, found " +
                 std::to_string(m_settings.m_shards));
    }
    if (!policy.m_forwardJobs) {
      return;
    }
    // Only the first shard exchanges messages with other entries.
    if (m_settings.m_shards > 1) {
      AddFault("policy.forward_jobs",
               "requires `shards` 1, found " +
                 std::to_string(m_settings.m_shards));
    }
    if (policy.m_agentTimeout == core::Duration::zero()) {
      AddFault("policy.forward_jobs",
               "requires `policy.agent_silence_ms` above 0, found 0");
    }
  }

  void CheckAdapter(bool aAgent)
  {
    const AdapterSettings& adapter = m_settings.m_adapter;
    if (adapter.m_interface == Interface::Native) {
      return;
    }
    if (adapter.m_listen.empty()) {
      AddFault("adapter.listen", "required by the platform adapter");
    }
    if (aAgent && adapter.m_workerUrl.empty()) {
      AddFault("adapter.worker_url", "required by the platform adapter");
    }
    if (!aAgent && adapter.m_readyListen.empty()) {
      AddFault("adapter.ready_listen", "required by the platform adapter");
    }
  }

  void CheckAdvertised(std::string_view aListen,
                       std::string_view aUrl,
                       std::string_view aPath)
  {
    const bool anyAddress = aListen == "0.0.0.0" || aListen == "::";
    if (anyAddress && aUrl.empty()) {
      AddFault(aPath, "required if the process listens on all addresses");
    }
  }

  void ChoosePlacement()
  {
    const PlacementSettings& placement = m_settings.m_placement;
    core::PlacementPolicy& policy = m_settings.m_entryPolicy.m_placement;
    switch (placement.m_kind) {
      case PlacementKind::ReportedLoad:
        policy = placement.m_reportedLoad;
        return;
      case PlacementKind::Random:
        policy = core::RandomPlacement{};
        return;
      case PlacementKind::Probe:
        policy = placement.m_probe;
        return;
    }
  }

  const json& m_document;
  Settings m_settings;
  std::string m_faults;
};

/** Formats the value of a binding as it is written in the settings file. */
struct BindingWriter
{
  std::string operator()(const bool* aValue) const
  {
    return *aValue ? "true" : "false";
  }
  std::string operator()(const std::optional<std::uint64_t>* /*aValue*/) const
  {
    return "";
  }
  template<typename Number>
  std::string operator()(const NumberBinding<Number>& aBinding) const
  {
    return json(*aBinding.m_value).dump();
  }
  std::string operator()(const DurationBinding& aBinding) const
  {
    return std::to_string(*aBinding.m_value / aBinding.m_unit);
  }
  std::string operator()(const TextBinding& aBinding) const
  {
    return aBinding.m_value->empty() ? "" : "\"" + *aBinding.m_value + "\"";
  }
  std::string operator()(const TextListBinding& /*aBinding*/) const
  {
    return "[]";
  }
  template<typename Enum>
  std::string operator()(const ChoiceBinding<Enum>& aBinding) const
  {
    const std::size_t index = static_cast<std::size_t>(*aBinding.m_value);
    return "\"" + std::string(ChoiceNames(Enum{})[index]) + "\"";
  }
};

std::string_view
RolesText(FieldRoles aRoles)
{
  switch (aRoles) {
    case FieldRoles::Both:
      return "both";
    case FieldRoles::Entry:
      return "entry";
    case FieldRoles::Agent:
      return "agent";
  }
  return "";
}

void
WriteRow(const SettingField& aField, std::ostream& aPage)
{
  Settings defaults;
  const FieldBinding binding = aField.m_bind(defaults);
  const std::string defaultText =
    aField.m_required ? "required" : std::visit(BindingWriter{}, binding);
  aPage << "| `" << aField.m_path << "` | " << RolesText(aField.m_roles)
        << " | " << DescribeForm(binding) << " | " << defaultText << " | "
        << aField.m_meaning << " |\n";
}

constexpr std::string_view kPageHead =
  R"(# Settings

`mulberrysaild --settings FILE` reads one JSON file; comments (`//` and
`/* */`) are allowed. The file is checked whole before anything is started:
every fault is named with its path and the expected form, and unknown fields
are rejected. `--check-settings` does only this: exit code 0 if the file is
right, else 2. Samples: `samples/entry.json`, `samples/agent.json`.

`mulberrysaild --settings-page` prints this page. A dot in a name stands for
an object: `http.port` is `{"http": {"port": ...}}`. Durations that end in
`_ms` are in milliseconds, in `_us` in microseconds.

| field | role | form | default | meaning |
|---|---|---|---|---|
)";

} // namespace

core::Result<Settings>
ParseSettings(std::string_view aText)
{
  const input::JsonResult document =
    input::ParseJson(aText, { .m_allowsComments = true });
  if (document.has_error()) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      document.error().m_detail);
  }
  if (!document.value().is_object()) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "the settings must be one JSON object");
  }
  return SettingsReader(document.value()).Read();
}

core::Result<Settings>
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return core::Fail(core::ErrorKind::InvalidSettings, "can't read " + aPath);
  }
  return ParseSettings(text.str());
}

std::string
SettingsPage()
{
  std::ostringstream page;
  page << kPageHead;
  for (const SettingField& field : SettingFields()) {
    WriteRow(field, page);
  }
  return page.str();
}

} // namespace mulberrysail::daemon
