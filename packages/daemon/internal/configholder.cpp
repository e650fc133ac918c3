#include "daemon/internal/configholder.h"

#include <utility>

namespace mulberrysail::daemon {

void
ConfigHolder::Set(core::ConfigChanged aConfig)
{
  const std::shared_ptr<const core::ConfigChanged> config =
    std::make_shared<const core::ConfigChanged>(std::move(aConfig));
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!m_current || m_current->m_configuration.m_version <
                      config->m_configuration.m_version) {
    m_current = config;
  }
}

std::shared_ptr<const core::ConfigChanged>
ConfigHolder::Get() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_current;
}

} // namespace mulberrysail::daemon
