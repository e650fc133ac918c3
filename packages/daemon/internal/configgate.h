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
  using Release = std::function<void(core::ConfigChanged)>;

  /** @param aRelease puts a configuration in force; called without a lock. */
  explicit ConfigGate(Release aRelease)
    : m_release(std::move(aRelease))
  {
  }

  /** Takes a configuration; it is released now or when it is confirmed. */
  void Take(core::ConfigChanged aConfig);

  /** An agent has @p aVersion in force. What is held is released if it is as
   * new; if not, the agent is about to be asked for its own. */
  void OnAgentVersion(core::ConfigVersion aVersion);

  /** Nothing contradicts the store: there was no configuration, or no agent
   * was met for long enough. */
  void Open();

private:
  void ReleaseHeld();

  const Release m_release;
  std::mutex m_mutex;
  bool m_open = false;
  /** The newest that an agent was seen with; absent if none was met. */
  std::optional<core::ConfigVersion> m_newestSeen;
  std::optional<core::ConfigChanged> m_held;
};

} // namespace mulberrysail::daemon
