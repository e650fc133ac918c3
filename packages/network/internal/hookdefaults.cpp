#include "network/internal/hookdefaults.h"

#include <chrono>
#include <cstdint>

namespace mulberrysail::network {

namespace {

core::Instant
Now()
{
  return core::Instant(std::chrono::duration_cast<core::Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

TransportHooks
WithDefaults(TransportHooks aHooks)
{
  const auto setDefault = [](auto& aHook, auto aDefault) {
    if (!aHook) {
      aHook = aDefault;
    }
  };
  setDefault(aHooks.m_onMessage, [](const auto&) {});
  setDefault(aHooks.m_onLinkOpened, [](const auto&) {});
  setDefault(aHooks.m_onSendFailed, [](const auto&, const auto&) {});
  setDefault(aHooks.m_onRejected, [](const auto&) {});
  setDefault(aHooks.m_stamp, [] { return std::uint64_t(0); });
  setDefault(aHooks.m_now, [] { return Now(); });
  setDefault(aHooks.m_mergeStamp, [](std::uint64_t) {});
  return aHooks;
}

} // namespace mulberrysail::network
