#include "store/internal/storewatcher.h"

#include <utility>

namespace mulberrysail::store {

namespace {

/** A watch that lasted at least this long resets the backoff. The restart delay
 * thus grows only while watches keep ending early. */
constexpr core::Duration kStableWatchDuration = std::chrono::seconds(1);

} // namespace

StoreWatcher::StoreWatcher(IStore& aStore,
                           ITimer& aTimer,
                           std::string aPrefix,
                           std::uint32_t aSeed,
                           WatcherHooks aHooks)
  : m_store(aStore)
  , m_timer(aTimer)
  , m_prefix(std::move(aPrefix))
  , m_backoff(aSeed, aStore.MaxRetryDelay())
  , m_hooks(std::move(aHooks))
{
}

void
StoreWatcher::Start()
{
  if (m_stopped) {
    return;
  }
  m_store.Read(m_prefix,
               true,
               [weak = weak_from_this()](const core::Result<StoreRead>& aRead) {
                 const std::shared_ptr<StoreWatcher> self = weak.lock();
                 if (self && !self->m_stopped) {
                   self->OnRead(aRead);
                 }
               });
}

void
StoreWatcher::Stop()
{
  m_stopped = true;
}

void
StoreWatcher::OnRead(const core::Result<StoreRead>& aRead)
{
  if (aRead.has_error()) {
    SetAvailable(false, aRead.error().m_detail);
    ScheduleRestart();
    return;
  }
  SetAvailable(true, "");
  m_hooks.m_onSnapshot(aRead.value());
  m_watchStart = m_timer.Now();
  m_store.Watch(
    m_prefix,
    aRead.value().m_revision + 1,
    [weak = weak_from_this()](const StoredValue& aValue) {
      const std::shared_ptr<StoreWatcher> self = weak.lock();
      if (self && !self->m_stopped) {
        self->m_hooks.m_onChange(aValue);
      }
    },
    [weak = weak_from_this()](const core::Error& aError) {
      const std::shared_ptr<StoreWatcher> self = weak.lock();
      if (self && !self->m_stopped) {
        self->OnWatchEnded(aError);
      }
    });
}

void
StoreWatcher::OnWatchEnded(const core::Error& aError)
{
  if (m_hooks.m_onWatchEnded) {
    m_hooks.m_onWatchEnded(aError.m_detail);
  }
  if (m_timer.Now() - m_watchStart >= kStableWatchDuration) {
    m_backoff.Reset();
  }
  ScheduleRestart();
}

void
StoreWatcher::ScheduleRestart()
{
  m_timer.After(m_backoff.Next(), [weak = weak_from_this()] {
    const std::shared_ptr<StoreWatcher> self = weak.lock();
    if (self) {
      self->Start();
    }
  });
}

void
StoreWatcher::SetAvailable(bool aAvailable, const std::string& aCause)
{
  if (aAvailable == std::exchange(m_available, aAvailable)) {
    return;
  }
  if (m_hooks.m_onAvailabilityChange) {
    m_hooks.m_onAvailabilityChange(aAvailable, aCause);
  }
}

} // namespace mulberrysail::store
