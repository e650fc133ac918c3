#pragma once

#include "core/types/events.h"

#include <functional>
#include <mutex>
#include <optional>

namespace mulberrysail::daemon {

/**
 * Defers the first configuration that a process reads from the store until it
 * is confirmed. The read may be stale, and an earlier incarnation of the
 * process may have applied a newer version. Thread-safe.
 */
class ConfigGate
{
public:
  using ApplyFunction = std::function<void(core::ConfigChanged)>;

  /** @param aApply applies a configuration. Called with no lock held. */
  explicit ConfigGate(ApplyFunction aApply)
    : m_apply(std::move(aApply))
  {
  }

  /** Accepts a configuration from the store. Applies it at once if it is
   * confirmed, else when it becomes confirmed. */
  void Receive(core::ConfigChanged aConfig);

  /** Handles the configuration version that an agent has reported. Applies the
   * pending configuration if no agent has reported a newer one. Otherwise the
   * configuration stays pending, as the entry is about to request the newer one
   * from the agent. */
  void OnAgentVersion(core::ConfigVersion aVersion);

  /** Marks the configuration of the store as confirmed and applies it if it is
   * pending. To be called if the store has no configuration, or when the time
   * limit for reports of agents expires. */
  void Confirm();

private:
  void ApplyPending();

  const ApplyFunction m_apply;
  std::mutex m_mutex;
  bool m_confirmed = false;
  /** The newest version that any agent reported; absent before the first
   * report. */
  std::optional<core::ConfigVersion> m_newestReported;
  std::optional<core::ConfigChanged> m_pending;
};

} // namespace mulberrysail::daemon
