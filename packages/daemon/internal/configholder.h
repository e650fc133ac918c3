#pragma once

#include "core/types/configuration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace mulberrysail::daemon {

/** A configuration and the text that it was read from. */
struct HeldConfig
{
  core::Configuration m_configuration;
  std::string m_document;
};

/** The newest configuration that this process knows; its version only rises.
 * Thread-safe. */
class ConfigHolder
{
public:
  /** Gets each newer configuration, in the order of their versions. */
  using Listener = std::function<void(const HeldConfig&)>;

  explicit ConfigHolder(Listener aListener);

  /** Takes a document if it is newer than what is held, and can be read.
   * @return whether it was taken. */
  bool Take(core::ConfigVersion aVersion, std::string aDocument);

  /** @return what is held, or null if nothing was learned yet. */
  std::shared_ptr<const HeldConfig> Get() const;

private:
  Listener m_listener;
  /** Held while the listener runs, so that it sees the versions in order. */
  std::mutex m_takeMutex;
  mutable std::mutex m_mutex;
  std::shared_ptr<const HeldConfig> m_held;
};

} // namespace mulberrysail::daemon
