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

  /** Processes the version that an agent has in force. Applies the pending
   * configuration if it is at least as new as the newest version reported by
   * any agent. If it is older, it stays pending, as the entry is about to
   * request the newer configuration from the agent. */
  void OnAgentVersion(core::ConfigVersion aVersion);

  /** Confirms the store's configuration, as nothing contradicts it: the store
   * has no configuration, or the time limit for reports of agents is over. */
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
