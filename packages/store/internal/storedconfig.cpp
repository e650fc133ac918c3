#include "store/internal/storedconfig.h"

#include "core/types/configuration.h"

#include "input/boundedjson.h"
#include "input/jsonfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace mulberrysail::store {

namespace {

using input::JsonFields;
using nlohmann::json;

/** Maximum length of the history; the oldest patch is removed first. */
constexpr std::size_t kMaxHistoryRecords = 64;
/** The store accepts values of up to one megabyte. */
constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr std::size_t kMaxPatchIdBytes = 128;
/** Patches only count up, so that a higher version is taken for malformed. */
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

auto
Unreadable(const std::string& aDetail)
{
  return core::Fail(core::ErrorKind::Internal,
                    "the stored configuration can't be read: " + aDetail);
}

} // namespace

core::Result<StoredConfig>
ParseStoredConfig(const StoredValue& aValue)
{
  StoredConfig config;
  if (aValue.m_modRevision == 0) {
    return config;
  }
  const input::JsonResult root = input::ParseJson(aValue.m_value);
  if (root.has_error()) {
    return Unreadable(root.error().m_detail);
  }
  JsonFields fields(root.value(), "");
  config.m_modRevision = aValue.m_modRevision;
  config.m_version = { fields.RequiredWholeNumber("version", 0, kMaxVersion) };
  const json* const document = fields.Object("document");
  const json* const history = fields.List("history");
  if (document == nullptr || history == nullptr || fields.FirstError()) {
    return Unreadable(fields.FirstError().value_or(
      "expected an object \"document\" and a list \"history\""));
  }
  config.m_document = document->dump();
  for (const json& record : *history) {
    JsonFields recordFields(record, "history.");
    config.m_history.push_back(
      { recordFields.RequiredText("id", kMaxPatchIdBytes),
        { recordFields.RequiredWholeNumber("version", 0, kMaxVersion) } });
    if (recordFields.FirstError()) {
      return Unreadable(*recordFields.FirstError());
    }
  }
  return config;
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
  input::JsonResult document = input::ParseJson(aConfig.m_document);
  const input::JsonResult patch = input::ParseJson(aPatch);
  if (document.has_error() || patch.has_error()) {
    return core::Fail(core::ErrorKind::InvalidPatch,
                      document.has_error() ? document.error().m_detail
                                           : patch.error().m_detail);
  }
  document.value().merge_patch(patch.value());
  next.m_document = document.value().dump();
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
