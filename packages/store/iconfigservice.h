#pragma once

#include "core/types/events.h"
#include "core/types/ids.h"
#include "core/types/result.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mulberrysail::store {

/** What an operator wants changed. */
struct ConfigPatch
{
  /** The version that the patch was made against; 0 if there is none. */
  core::ConfigVersion m_baseVersion;
  /** Names the patch: sent again with the same id it is applied once. */
  std::string m_id;
  /** A JSON merge patch (RFC 7396) against the document. */
  std::string m_patch;
};

/** The version that the patch became; or VersionConflict, InvalidPatch,
 * StoreUnavailable (nothing was written) or PatchUncertain. */
using PatchCallback = std::function<void(core::Result<core::ConfigVersion>)>;

/** The configuration in force, kept up to date from the store. Thread-safe. */
class IConfigService
{
public:
  virtual ~IConfigService() = default;

  /** @return the newest configuration that is known, if there is one. */
  virtual std::optional<core::ConfigChanged> Current() const = 0;

  /** Accepts or rejects a patch as a whole. */
  virtual void Patch(ConfigPatch aPatch, PatchCallback aCallback) = 0;

  /** Takes a configuration learned from a peer, if it is newer and valid. */
  virtual void ApplyPeerConfig(core::ConfigVersion aVersion,
                               std::string aDocument) = 0;

  /** No hook is called any more once this has returned, but from a call that
   * is under way. Patches under way still get their answers. */
  virtual void Stop() = 0;
};

struct ConfigHooks
{
  /** A newer configuration is in force. Versions only rise. */
  std::function<void(core::ConfigChanged)> m_onChange;
  /** The store has stopped answering, or answers again. */
  std::function<void(bool aAvailable)> m_onAvailabilityChange;
  /** The store has answered that there is no configuration, and none was ever
   * known here. */
  std::function<void()> m_onAbsent;
  /** A value could not be read; the configuration in force stays. */
  std::function<void(std::string aDetail)> m_onUnreadable = nullptr;
};

/** A configuration as it was read from a value of the store. */
struct ParsedConfig
{
  core::ConfigVersion m_version;
  /** The product's own document; see core::ParseConfiguration. */
  std::string m_document;
};

/** Another place and form of the configuration than the product's own. */
struct ConfigSource
{
  std::string m_key;
  /** Reads a value; must be callable from any thread. */
  std::function<core::Result<ParsedConfig>(std::string_view aValue)> m_parse;
};

/**
 * Starts to load and watch the configuration.
 * @param aStore, aTimer must live longer than the service and all its calls.
 * @param aSeed spreads the retries of many processes.
 * @param aSource if present, the configuration is read from there, and patches
 * are rejected.
 */
std::shared_ptr<IConfigService>
StartConfigService(IStore& aStore,
                   ITimer& aTimer,
                   std::uint32_t aSeed,
                   ConfigHooks aHooks,
                   std::optional<ConfigSource> aSource = std::nullopt);

} // namespace mulberrysail::store
