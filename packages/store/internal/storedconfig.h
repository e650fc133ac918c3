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

/** The key of the store that holds the configuration. */
inline constexpr std::string_view kConfigKey = "/mulberrysail/config";

/** The prefix of the keys that drain zones. It begins with kConfigKey, so that
 * one watch covers both. */
inline constexpr std::string_view kDrainPrefix = "/mulberrysail/config/drains/";

/** An accepted patch and the version that it created. */
struct PatchRecord
{
  std::string m_id;
  core::ConfigVersion m_version;
};

/** The configuration with its patch history, as kept in the store. */
struct StoredConfig
{
  /** The revision of the key; 0 if the key does not exist. */
  std::int64_t m_modRevision = 0;
  core::ConfigVersion m_version;
  /** JSON without comments. */
  std::string m_document = "{}";
  /** The latest accepted patches, oldest first. */
  std::vector<PatchRecord> m_history;
};

/** Parses the value of the configuration key.
 * @return the configuration; an empty one of version 0 if the key does not
 * exist; Internal if the value cannot be parsed. */
core::Result<StoredConfig>
ParseStoredConfig(const StoredValue& aValue);

/** @return the value to write to the configuration key. */
std::string
SerializeStoredConfig(const StoredConfig& aConfig);

/** @return the next version of the configuration, with the patch applied and
 * recorded in the history; InvalidPatch if the patch or the resulting
 * configuration is not valid. */
core::Result<StoredConfig>
ApplyPatch(const StoredConfig& aConfig,
           const std::string& aId,
           std::string_view aPatch);

/** The status of a patch with respect to a stored configuration. */
enum class PatchStatus : std::uint8_t
{
  /** The patch created the version after its base version. */
  Accepted,
  /** The patch has not been accepted, and its base is the current version. */
  Applicable,
  /** The patch was not accepted and does not apply: another patch created the
   * version after its base, or its base is newer than the current version. */
  Superseded,
  /** The history no longer contains the version after the patch's base version,
   * so it is unknown whether the patch was accepted. */
  OutsideHistory,
};

/** @return the status of the patch with the id @p aId, made against the version
 * @p aBase. */
PatchStatus
StatusOfPatch(const StoredConfig& aConfig,
              core::ConfigVersion aBase,
              const std::string& aId);

/** @return the version created by the patch, if it is in the history. */
std::optional<core::ConfigVersion>
AcceptedVersion(const StoredConfig& aConfig, const std::string& aId);

} // namespace mulberrysail::store
