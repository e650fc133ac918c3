#pragma once

#include "core/types/events.h"

#include <memory>
#include <mutex>

namespace mulberrysail::daemon {

/** Stores the newest configuration known to this process. Readers share one
 * copy. Thread-safe. */
class ConfigHolder
{
public:
  /** Replaces the current configuration if @p aConfig is newer. */
  void Set(core::ConfigChanged aConfig);

  /** @return the current configuration, or null before the first Set(). */
  std::shared_ptr<const core::ConfigChanged> Get() const;

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const core::ConfigChanged> m_current;
};

} // namespace mulberrysail::daemon
