#pragma once

#include "core/types/result.h"
#include "daemon/iadapter.h"
#include "daemon/settings/settings.h"
#include "telemetry/ieventlog.h"

#include <memory>

namespace mulberrysail::daemon {

/** A running process in one role: entry or agent. */
class IRole
{
public:
  virtual ~IRole() = default;

  /** Starts to drain: the process reports that it is not ready and refuses new
   * work, an entry only after drain_accept_ms of its settings. Work in progress
   * continues. */
  virtual void Drain() = 0;

  /** @return whether the process drains, refuses new work, has no work in
   * progress and has written all responses. */
  virtual bool Drained() const = 0;

  /** Stops accepting connections, removes the registrations of the process and
   * records its stop. To be called after Drained() returns true. */
  virtual void Leave() = 0;

  /** Stops all threads. */
  virtual void Stop() = 0;

  /** @return the event log of the process. */
  virtual telemetry::IEventLog& Events() = 0;
};

/** Starts an entry or an agent, as selected by @p aSettings. Fails with
 * InvalidSettings if an address is already in use.
 * @param aAdapter the adapter of a platform, or null to serve only the native
 * interface. Must outlive the role.
 * @param aOutput the output of the log. Must outlive the role. */
core::Result<std::unique_ptr<IRole>>
StartRole(const Settings& aSettings,
          const IAdapter* aAdapter,
          telemetry::ILogOutput& aOutput);

} // namespace mulberrysail::daemon
