#pragma once

#include "core/types/events.h"

#include <functional>
#include <mutex>
#include <optional>

namespace mulberrysail::daemon {

/**
 * Holds back the first configuration that a process reads from the store until
 * something confirms it: the read may be stale, and an earlier life of the
 * process may have had a newer one in force. Thread-safe.
 */
class ConfigGate
{
public:
  using ApplyFunction = std::function<void(core::ConfigChanged)>;

  /** @param aApply puts a configuration in force; called without a lock. */
  explicit ConfigGate(ApplyFunction aApply)
    : m_apply(std::move(aApply))
  {
  }

  /** Takes a configuration; it is released now or when it is confirmed. */
  void Receive(core::ConfigChanged aConfig);

  /** An agent has @p aVersion in force. What is held is released if it is as
   * new; if not, the agent is about to be asked for its own. */
  void OnAgentVersion(core::ConfigVersion aVersion);

  /** Nothing contradicts the store: there was no configuration, or no agent
   * was met for long enough. */
  void Confirm();

private:
  void ApplyPending();

  const ApplyFunction m_apply;
  std::mutex m_mutex;
  bool m_confirmed = false;
  /** The newest that an agent was seen with; absent if none was met. */
  std::optional<core::ConfigVersion> m_newestSeen;
  std::optional<core::ConfigChanged> m_pending;
};

} // namespace mulberrysail::daemon
