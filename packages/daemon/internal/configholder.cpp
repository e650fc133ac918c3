#include "daemon/internal/configholder.h"

#include <utility>

namespace mulberrysail::daemon {

ConfigHolder::ConfigHolder(Listener aListener)
  : m_listener(std::move(aListener))
{
}

bool
ConfigHolder::Take(core::ConfigVersion aVersion, std::string aDocument)
{
  const std::lock_guard<std::mutex> take(m_takeMutex);
  const std::shared_ptr<const HeldConfig> known = Get();
  if (known && aVersion <= known->m_configuration.m_version) {
    return false;
  }
  core::Result<core::Configuration> configuration =
    core::ParseConfiguration(aVersion, aDocument);
  if (!configuration) {
    return false;
  }
  const std::shared_ptr<const HeldConfig> held =
    std::make_shared<const HeldConfig>(
      HeldConfig{ std::move(configuration).value(), std::move(aDocument) });
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_held = held;
  }
  m_listener(*held);
  return true;
}

std::shared_ptr<const HeldConfig>
ConfigHolder::Get() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_held;
}

} // namespace mulberrysail::daemon
