#include "daemon/internal/configgate.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::daemon {

void
ConfigGate::Receive(core::ConfigChanged aConfig)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool confirmed =
      m_confirmed || (m_newestReported &&
                      aConfig.m_configuration.m_version >= *m_newestReported);
    if (!confirmed) {
      m_pending = std::move(aConfig);
      return;
    }
    m_confirmed = true;
    m_pending.reset();
  }
  m_apply(std::move(aConfig));
}

void
ConfigGate::OnAgentVersion(core::ConfigVersion aVersion)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_confirmed) {
      return;
    }
    m_newestReported = std::max(m_newestReported.value_or(aVersion), aVersion);
    if (!m_pending ||
        m_pending->m_configuration.m_version < *m_newestReported) {
      return;
    }
    m_confirmed = true;
  }
  ApplyPending();
}

void
ConfigGate::Confirm()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_confirmed = true;
  }
  ApplyPending();
}

void
ConfigGate::ApplyPending()
{
  std::optional<core::ConfigChanged> pending;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::swap(pending, m_pending);
  }
  if (pending) {
    m_apply(std::move(*pending));
  }
}

} // namespace mulberrysail::daemon
