#pragma once

#include "core/types/events.h"
#include "core/types/ids.h"
#include "core/types/result.h"
#include "core/types/zonedrains.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mulberrysail::store {

/** A change of the configuration, as submitted by an operator. */
struct ConfigPatch
{
  /** The version that the patch was made against; 0 if no configuration
   * exists. */
  core::ConfigVersion m_baseVersion;
  /** Idempotency key: a patch submitted again with the same id is applied
   * once. */
  std::string m_id;
  /** A JSON merge patch (RFC 7396) for the configuration document. */
  std::string m_patch;
};

/** Receives the version created by the patch, or an error: VersionConflict,
 * InvalidPatch, StoreUnavailable or Internal (the stored configuration cannot
 * be parsed) if the patch was not written, or PatchUncertain if it may have
 * been written. */
using PatchCallback = std::function<void(core::Result<core::ConfigVersion>)>;

/** Receives nothing, or an error: InvalidPatch if the key is written elsewhere,
 * StoreUnavailable if nothing was written, or PatchUncertain if the key may
 * have been written. */
using DrainCallback = std::function<void(core::Result<void>)>;

/** Keeps the configuration in force and the drained zones up to date from the
 * store. Thread-safe. */
class IConfigService
{
public:
  virtual ~IConfigService() = default;

  /** @return the newest configuration received so far, if any. */
  virtual std::optional<core::ConfigChanged> Current() const = 0;

  /** Accepts or rejects a patch as a whole. @p aCallback may be called before
   * this returns. */
  virtual void Patch(ConfigPatch aPatch, PatchCallback aCallback) = 0;

  /** Applies a configuration received from a peer if it is valid and newer than
   * the one in force. */
  virtual void ApplyPeerConfig(core::ConfigVersion aVersion,
                               std::string aDocument) = 0;

  /** Drains a zone. Has no effect if it is drained already, so that the time of
   * the first call stays. @p aCallback may be called before this returns.
   * @param aSince the time in the value, in milliseconds of Unix time. */
  virtual void DrainZone(const std::string& aZone,
                         std::chrono::milliseconds aSince,
                         DrainCallback aCallback) = 0;

  /** Ends the drain of a zone; succeeds also if the zone is not drained.
   * @p aCallback may be called before this returns. */
  virtual void UndrainZone(const std::string& aZone,
                           DrainCallback aCallback) = 0;

  /** @return the drained zones of which the store's value says since when, in
   * Unix time. */
  virtual std::map<std::string, std::chrono::milliseconds> DrainTimes()
    const = 0;

  /** Stops calling hooks; a hook that is already running may still finish after
   * this has returned. The callbacks of pending patches are still called. */
  virtual void Stop() = 0;
};

struct ConfigHooks
{
  /** A newer configuration is in force. Versions strictly increase. */
  std::function<void(core::ConfigChanged)> m_onChange;
  /** The store has become unavailable, with the cause, or available again. */
  std::function<void(bool aAvailable, const std::string& aCause)>
    m_onAvailabilityChange;
  /** The store holds no configuration, and this process has never received
   * one. */
  std::function<void()> m_onAbsent;
  /** A configuration could not be parsed; the one in force is kept. */
  std::function<void(std::string aDetail)> m_onUnreadable = nullptr;
  /** A watch of the configuration has ended, and the configuration is read
   * again after a delay. */
  std::function<void(const std::string& aCause)> m_onWatchEnded = nullptr;
  /** The drained zones have changed, or were read for the first time. Called
   * before m_onChange for a configuration of the same read. Revisions strictly
   * increase. */
  std::function<void(core::ZoneDrains)> m_onDrainsChange = nullptr;
  /** A key that drains a zone has no zone name, or its value cannot be parsed.
   * Called once for each write of such a key. Must not call the service. */
  std::function<void(const std::string& aDetail)> m_onDrainUnreadable = nullptr;
};

/** A configuration parsed from a value of the store. */
struct ParsedConfig
{
  core::ConfigVersion m_version;
  /** In the product's own format; see core::ParseConfiguration. */
  std::string m_document;
};

/** Keys and a format of the configuration other than the product's own. */
struct ConfigSource
{
  /** The prefix to watch, with which the keys below begin. */
  std::string m_prefix;
  /** The key of the configuration. */
  std::string m_key;
  /** The prefix of the keys that drain zones; the rest of such a key is the
   * name of the zone. */
  std::string m_drainPrefix;
  /** Parses a value of the key; must be callable from any thread. */
  std::function<core::Result<ParsedConfig>(std::string_view aValue)> m_parse;
};

/**
 * Starts to load and watch the configuration.
 * @param aStore, aTimer must outlive the service and all its calls.
 * @param aSeed seed of the random retry delays. It should differ between
 * processes, so that they do not retry at the same time.
 * @param aSource if present, the configuration is read from this source, and
 * patches are rejected.
 */
std::shared_ptr<IConfigService>
StartConfigService(IStore& aStore,
                   ITimer& aTimer,
                   std::uint32_t aSeed,
                   ConfigHooks aHooks,
                   std::optional<ConfigSource> aSource = std::nullopt);

} // namespace mulberrysail::store
