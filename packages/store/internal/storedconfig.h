#pragma once

#include "core/types/ids.h"
#include "core/types/result.h"
#include "store/istore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::store {

/** The key that holds the configuration. */
inline constexpr std::string_view kConfigKey = "/mulberrysail/config";

/** Which version an accepted patch became. */
struct PatchRecord
{
  std::string m_id;
  core::ConfigVersion m_version;
};

/** The configuration as the store holds it. */
struct StoredConfig
{
  /** Of the key; 0 if it doesn't exist. */
  std::int64_t m_modRevision = 0;
  core::ConfigVersion m_version;
  /** JSON without comments. */
  std::string m_document = "{}";
  /** The latest accepted patches, oldest first. */
  std::vector<PatchRecord> m_history;
};

/** @return the configuration; the empty one of version 0 if the key is absent;
 * Internal if the value can't be read. */
core::Result<StoredConfig>
ReadStoredConfig(const StoredValue& aValue);

/** @return the value to store. */
std::string
WriteStoredConfig(const StoredConfig& aConfig);

/** @return the next version with the patch applied and the id in its history;
 * InvalidPatch if it would not be valid. */
core::Result<StoredConfig>
ApplyPatch(const StoredConfig& aConfig,
           const std::string& aId,
           std::string_view aPatch);

/** What the history tells of a patch. */
enum class PatchStatus : std::uint8_t
{
  /** It became the version after its base. */
  Accepted,
  /** It hasn't been accepted, and its base is the current version. */
  Applicable,
  /** Another patch became the version after its base. */
  Superseded,
  /** It is too long ago. */
  OutsideHistory,
};

PatchStatus
FindPatch(const StoredConfig& aConfig,
          core::ConfigVersion aBase,
          const std::string& aId);

/** @return the version that the patch became, if the history has it. */
std::optional<core::ConfigVersion>
AcceptedVersion(const StoredConfig& aConfig, const std::string& aId);

} // namespace mulberrysail::store
