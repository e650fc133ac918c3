#pragma once

#include "core/types/events.h"

#include <memory>
#include <mutex>

namespace mulberrysail::daemon {

/** The newest configuration that this process knows, to be read often and
 * without a copy. Thread-safe. */
class ConfigHolder
{
public:
  /** Replaces what is held, unless that is as new. */
  void Set(core::ConfigChanged aConfig);

  /** @return what is held, or null if nothing was learned yet. */
  std::shared_ptr<const core::ConfigChanged> Get() const;

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const core::ConfigChanged> m_current;
};

} // namespace mulberrysail::daemon
