#include "daemon/internal/configgate.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::daemon {

void
ConfigGate::Take(core::ConfigChanged aConfig)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool confirmed =
      m_open ||
      (m_newestSeen && aConfig.m_configuration.m_version >= *m_newestSeen);
    if (!confirmed) {
      m_held = std::move(aConfig);
      return;
    }
    m_open = true;
    m_held.reset();
  }
  m_release(std::move(aConfig));
}

void
ConfigGate::OnAgentVersion(core::ConfigVersion aVersion)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_open) {
      return;
    }
    m_newestSeen = std::max(m_newestSeen.value_or(aVersion), aVersion);
    if (!m_held || m_held->m_configuration.m_version < *m_newestSeen) {
      return;
    }
    m_open = true;
  }
  ReleaseHeld();
}

void
ConfigGate::Open()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open = true;
  }
  ReleaseHeld();
}

void
ConfigGate::ReleaseHeld()
{
  std::optional<core::ConfigChanged> held;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::swap(held, m_held);
  }
  if (held) {
    m_release(std::move(*held));
  }
}

} // namespace mulberrysail::daemon
