#include "store/internal/storedconfig.h"

#include "core/types/configuration.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mulberrysail::store {

namespace {

using nlohmann::json;

/** Maximum length of the history; the oldest patch is removed first. */
constexpr std::size_t kMaxHistoryRecords = 64;
/** The store accepts values of up to one megabyte. */
constexpr std::size_t kMaxValueBytes = 1'000'000;

} // namespace

core::Result<StoredConfig>
ParseStoredConfig(const StoredValue& aValue)
{
  StoredConfig config;
  if (aValue.m_modRevision == 0) {
    return config;
  }
  config.m_modRevision = aValue.m_modRevision;
  try {
    const json root = json::parse(aValue.m_value);
    config.m_version.m_value = root.at("version").get<std::uint64_t>();
    config.m_document = root.at("document").dump();
    for (const json& record : root.at("history")) {
      config.m_history.push_back(
        { record.at("id").get<std::string>(),
          { record.at("version").get<std::uint64_t>() } });
    }
    return config;
  } catch (const json::exception& error) {
    return core::Fail(core::ErrorKind::Internal,
                      std::string("the stored configuration can't be read: ") +
                        error.what());
  }
}

std::string
SerializeStoredConfig(const StoredConfig& aConfig)
{
  json history = json::array();
  for (const PatchRecord& record : aConfig.m_history) {
    history.push_back(
      { { "id", record.m_id }, { "version", record.m_version.m_value } });
  }
  return json{
    { "version", aConfig.m_version.m_value },
    { "document", json::parse(aConfig.m_document) },
    { "history", history }
  }.dump();
}

core::Result<StoredConfig>
ApplyPatch(const StoredConfig& aConfig,
           const std::string& aId,
           std::string_view aPatch)
{
  StoredConfig next = aConfig;
  ++next.m_version.m_value;
  try {
    json document = json::parse(aConfig.m_document);
    document.merge_patch(json::parse(aPatch));
    next.m_document = document.dump();
  } catch (const json::exception& error) {
    return core::Fail(core::ErrorKind::InvalidPatch, error.what());
  }
  const core::Result<core::Configuration> parsed =
    core::ParseConfiguration(next.m_version, next.m_document);
  if (parsed.has_error()) {
    return core::Fail(parsed.error().m_kind, parsed.error().m_detail);
  }
  next.m_history.push_back({ aId, next.m_version });
  if (next.m_history.size() > kMaxHistoryRecords) {
    next.m_history.erase(next.m_history.begin());
  }
  if (SerializeStoredConfig(next).size() > kMaxValueBytes) {
    return core::Fail(core::ErrorKind::InvalidPatch,
                      "the document is too large for the store");
  }
  return next;
}

std::optional<core::ConfigVersion>
AcceptedVersion(const StoredConfig& aConfig, const std::string& aId)
{
  const auto record = std::find_if(
    aConfig.m_history.begin(),
    aConfig.m_history.end(),
    [&](const PatchRecord& aRecord) { return aRecord.m_id == aId; });
  if (record == aConfig.m_history.end()) {
    return std::nullopt;
  }
  return record->m_version;
}

PatchStatus
StatusOfPatch(const StoredConfig& aConfig,
              core::ConfigVersion aBase,
              const std::string& aId)
{
  if (AcceptedVersion(aConfig, aId)) {
    return PatchStatus::Accepted;
  }
  if (aBase == aConfig.m_version) {
    return PatchStatus::Applicable;
  }
  // An accepted patch always creates the version after its base version, so the
  // history is conclusive if it contains that version.
  const std::uint64_t next = aBase.m_value + 1;
  const bool inHistory = aBase > aConfig.m_version ||
                         (!aConfig.m_history.empty() &&
                          aConfig.m_history.front().m_version.m_value <= next);
  return inHistory ? PatchStatus::Superseded : PatchStatus::OutsideHistory;
}

} // namespace mulberrysail::store
