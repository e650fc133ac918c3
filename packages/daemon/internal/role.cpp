#include "daemon/irole.h"

#include "daemon/internal/agentrole.h"
#include "daemon/internal/entryrole.h"

namespace mulberrysail::daemon {

namespace {

template<typename Kind>
core::Result<std::unique_ptr<IRole>>
Start(const Settings& aSettings,
      const IAdapter* aAdapter,
      telemetry::ILogOutput& aOutput)
{
  std::unique_ptr<Kind> role =
    std::make_unique<Kind>(aSettings, aAdapter, aOutput);
  if (std::optional<core::Error> error = role->Start()) {
    return *error;
  }
  return std::unique_ptr<IRole>(std::move(role));
}

} // namespace

core::Result<std::unique_ptr<IRole>>
StartRole(const Settings& aSettings,
          const IAdapter* aAdapter,
          telemetry::ILogOutput& aOutput)
{
  return aSettings.m_role == Role::Entry
           ? Start<EntryRole>(aSettings, aAdapter, aOutput)
           : Start<AgentRole>(aSettings, aAdapter, aOutput);
}

} // namespace mulberrysail::daemon
