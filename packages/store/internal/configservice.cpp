#include "store/iconfigservice.h"

#include "core/types/configuration.h"
#include "store/internal/patchoperation.h"
#include "store/internal/storedconfig.h"
#include "store/internal/storewatcher.h"
#include "store/internal/zonedraintracker.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <utility>

namespace mulberrysail::store {

namespace {

constexpr std::size_t kMaxPatchIdBytes = 128;

core::Result<void>
ToDrainResult(WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case WriteOutcome::Written:
    case WriteOutcome::Conflict:
      // A conflict means that the zone is drained already.
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    case WriteOutcome::NotWritten:
      return core::Fail(core::ErrorKind::StoreUnavailable,
                        "the store did not accept the change");
    case WriteOutcome::Uncertain:
      break;
  }
  return core::Fail(core::ErrorKind::PatchUncertain,
                    "the store did not answer; the call may be repeated");
}

class ConfigService
  : public IConfigService
  , public std::enable_shared_from_this<ConfigService>
{
public:
  ConfigService(IStore& aStore,
                ITimer& aTimer,
                std::uint32_t aSeed,
                ConfigHooks aHooks,
                std::optional<ConfigSource> aSource)
    : m_store(aStore)
    , m_timer(aTimer)
    , m_seed(aSeed)
    , m_hooks(std::move(aHooks))
    , m_source(std::move(aSource))
    , m_key(m_source ? m_source->m_key : std::string(kConfigKey))
    , m_prefix(m_source ? m_source->m_prefix : m_key)
    , m_drainTracker(
        m_source ? m_source->m_drainPrefix : std::string(kDrainPrefix),
        m_source ? DrainValueFormat::Any : DrainValueFormat::Json,
        m_hooks.m_onDrainUnreadable ? m_hooks.m_onDrainUnreadable
                                    : [](const std::string& /*aDetail*/) {})
  {
  }

  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  ~ConfigService() override { ConfigService::Stop(); }

  void Start()
  {
    const std::weak_ptr<ConfigService> weak = weak_from_this();
    WatcherHooks hooks;
    hooks.m_onSnapshot = [weak](const StoreRead& aRead) {
      OnStoredDrains(weak, aRead);
      for (const StoredValue& value : aRead.m_values) {
        OnStoredValue(weak, value);
      }
      ReportIfAbsent(weak, aRead);
    };
    hooks.m_onChange = [weak](const StoredValue& aValue) {
      OnStoredDrains(weak, aValue);
      OnStoredValue(weak, aValue);
    };
    hooks.m_onAvailabilityChange = [weak](bool aAvailable,
                                          const std::string& aCause) {
      const std::shared_ptr<ConfigService> self = weak.lock();
      if (self && self->m_hooks.m_onAvailabilityChange) {
        self->m_hooks.m_onAvailabilityChange(aAvailable, aCause);
      }
    };
    hooks.m_onWatchEnded = [weak](const std::string& aCause) {
      const std::shared_ptr<ConfigService> self = weak.lock();
      if (self && self->m_hooks.m_onWatchEnded) {
        self->m_hooks.m_onWatchEnded(aCause);
      }
    };
    m_watcher = std::make_shared<StoreWatcher>(
      m_store, m_timer, m_prefix, m_seed, std::move(hooks));
    m_watcher->Start();
  }

  std::optional<core::ConfigChanged> Current() const override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
  }

  void Patch(ConfigPatch aPatch, PatchCallback aCallback) override
  {
    if (m_source) {
      aCallback(core::Fail(core::ErrorKind::InvalidPatch,
                           "the configuration is written elsewhere"));
      return;
    }
    if (aPatch.m_id.empty() || aPatch.m_id.size() > kMaxPatchIdBytes) {
      aCallback(core::Fail(core::ErrorKind::InvalidPatch,
                           "id: 1 to 128 bytes are expected"));
      return;
    }
    std::optional<StoredConfig> lastStored;
    core::ConfigVersion inForce;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      lastStored = m_lastStored;
      inForce = m_current ? m_current->m_configuration.m_version : inForce;
    }
    const std::shared_ptr<PatchOperation> operation =
      std::make_shared<PatchOperation>(
        m_store,
        m_timer,
        m_seed,
        std::move(aPatch),
        inForce,
        [self = shared_from_this(), callback = std::move(aCallback)](
          const core::Result<StoredConfig>& aStored,
          core::ConfigVersion aVersion) {
          if (aStored.has_error()) {
            callback(
              core::Fail(aStored.error().m_kind, aStored.error().m_detail));
            return;
          }
          self->ApplyIfNewer(aStored.value().m_version,
                             aStored.value().m_document);
          callback(aVersion);
        });
    operation->Start(lastStored);
  }

  void DrainZone(const std::string& aZone,
                 std::chrono::milliseconds aSince,
                 DrainCallback aCallback) override
  {
    if (RejectsDrains(aCallback)) {
      return;
    }
    // The key is created but never replaced, so that the time stays.
    m_store.CompareAndSwap(
      std::string(kDrainPrefix) + aZone,
      0,
      R"({"since_ms":)" + std::to_string(aSince.count()) + "}",
      std::nullopt,
      [callback = std::move(aCallback)](WriteOutcome aOutcome) {
        callback(ToDrainResult(aOutcome));
      });
  }

  void UndrainZone(const std::string& aZone, DrainCallback aCallback) override
  {
    if (RejectsDrains(aCallback)) {
      return;
    }
    m_store.Delete(std::string(kDrainPrefix) + aZone,
                   [callback = std::move(aCallback)](WriteOutcome aOutcome) {
                     callback(ToDrainResult(aOutcome));
                   });
  }

  std::map<std::string, std::chrono::milliseconds> DrainTimes() const override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_drainTracker.Times();
  }

  void ApplyPeerConfig(core::ConfigVersion aVersion,
                       std::string aDocument) override
  {
    ApplyIfNewer(aVersion, std::move(aDocument));
  }

  void Stop() override
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopped = true;
    }
    if (m_watcher) {
      m_watcher->Stop();
    }
  }

private:
  /** Applies a value read from the store, which may be outdated. */
  static void OnStoredValue(const std::weak_ptr<ConfigService>& aWeak,
                            const StoredValue& aValue)
  {
    const std::shared_ptr<ConfigService> self = aWeak.lock();
    if (!self || aValue.m_key != self->m_key || aValue.m_modRevision == 0) {
      return;
    }
    if (self->m_source) {
      const core::Result<ParsedConfig> read =
        self->m_source->m_parse(aValue.m_value);
      if (read.has_error()) {
        self->ReportUnreadable(read.error());
      } else {
        self->ApplyIfNewer(read.value().m_version, read.value().m_document);
      }
      return;
    }
    const core::Result<StoredConfig> stored = ParseStoredConfig(aValue);
    if (stored.has_error()) {
      self->ReportUnreadable(stored.error());
      return;
    }
    self->UpdateLastStored(stored.value());
    self->ApplyIfNewer(stored.value().m_version, stored.value().m_document);
  }

  static bool ApplyDrains(ZoneDrainTracker& aTracker, const StoreRead& aRead)
  {
    return aTracker.ApplyRead(aRead);
  }

  static bool ApplyDrains(ZoneDrainTracker& aTracker,
                          const StoredValue& aChange)
  {
    return aTracker.ApplyChange(aChange);
  }

  /** Passes a read or a change of the watch to the tracker. The hook is called
   * without the lock; the watcher's calls never run concurrently, so the lists
   * keep their order. */
  template<typename Stored>
  static void OnStoredDrains(const std::weak_ptr<ConfigService>& aWeak,
                             const Stored& aStored)
  {
    const std::shared_ptr<ConfigService> self = aWeak.lock();
    if (!self) {
      return;
    }
    std::optional<core::ZoneDrains> changed;
    {
      const std::lock_guard<std::mutex> lock(self->m_mutex);
      if (!self->m_stopped && ApplyDrains(self->m_drainTracker, aStored)) {
        changed = self->m_drainTracker.Drains();
      }
    }
    if (changed && self->m_hooks.m_onDrainsChange) {
      self->m_hooks.m_onDrainsChange(std::move(*changed));
    }
  }

  /** Rejects a change of drains if they are written elsewhere.
   * @return whether it was rejected. */
  bool RejectsDrains(const DrainCallback& aCallback) const
  {
    if (!m_source) {
      return false;
    }
    aCallback(core::Fail(core::ErrorKind::InvalidPatch,
                         "drains of zones are written elsewhere"));
    return true;
  }

  static void ReportIfAbsent(const std::weak_ptr<ConfigService>& aWeak,
                             const StoreRead& aRead)
  {
    const std::shared_ptr<ConfigService> self = aWeak.lock();
    const bool present =
      std::any_of(aRead.m_values.begin(),
                  aRead.m_values.end(),
                  [&](const StoredValue& aValue) {
                    return self && aValue.m_key == self->m_key;
                  });
    if (self && !present && !self->Current() && self->m_hooks.m_onAbsent) {
      self->m_hooks.m_onAbsent();
    }
  }

  void ReportUnreadable(const core::Error& aError) const
  {
    if (m_hooks.m_onUnreadable) {
      m_hooks.m_onUnreadable(aError.m_detail);
    }
  }

  void UpdateLastStored(const StoredConfig& aStored)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_lastStored || m_lastStored->m_modRevision < aStored.m_modRevision) {
      m_lastStored = aStored;
    }
  }

  /** Puts a configuration in force if it is valid and newer than the current
   * one. */
  void ApplyIfNewer(core::ConfigVersion aVersion, std::string aDocument)
  {
    const core::Result<core::Configuration> parsed =
      core::ParseConfiguration(aVersion, aDocument);
    if (parsed.has_error()) {
      ReportUnreadable(parsed.error());
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopped ||
          (m_current && aVersion <= m_current->m_configuration.m_version)) {
        return;
      }
      m_current = core::ConfigChanged{ parsed.value(), std::move(aDocument) };
      m_undelivered.push_back(*m_current);
    }
    DeliverChanges();
  }

  /** Passes queued changes to the hook in version order. Changes come from
   * several threads; the thread that finds no delivery in progress delivers
   * those of all threads. */
  void DeliverChanges()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_delivering) {
      return;
    }
    m_delivering = true;
    while (!m_undelivered.empty() && !m_stopped) {
      core::ConfigChanged change = std::move(m_undelivered.front());
      m_undelivered.pop_front();
      lock.unlock();
      if (m_hooks.m_onChange) {
        m_hooks.m_onChange(std::move(change));
      }
      lock.lock();
    }
    m_delivering = false;
  }

  IStore& m_store;
  ITimer& m_timer;
  const std::uint32_t m_seed;
  const ConfigHooks m_hooks;
  const std::optional<ConfigSource> m_source;
  const std::string m_key;
  const std::string m_prefix;
  std::shared_ptr<StoreWatcher> m_watcher;
  mutable std::mutex m_mutex;
  ZoneDrainTracker m_drainTracker;
  bool m_stopped = false;
  bool m_delivering = false;
  std::optional<core::ConfigChanged> m_current;
  /** The newest stored configuration seen. A patch operation that can start
   * from it does not have to read the store first. */
  std::optional<StoredConfig> m_lastStored;
  std::deque<core::ConfigChanged> m_undelivered;
};

} // namespace

std::shared_ptr<IConfigService>
StartConfigService(IStore& aStore,
                   ITimer& aTimer,
                   std::uint32_t aSeed,
                   ConfigHooks aHooks,
                   std::optional<ConfigSource> aSource)
{
  const std::shared_ptr<ConfigService> service =
    std::make_shared<ConfigService>(
      aStore, aTimer, aSeed, std::move(aHooks), std::move(aSource));
  service->Start();
  return service;
}

} // namespace mulberrysail::store
