#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "network/ihttpclient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::daemon {

/** Starts and stops runs at the endpoint and at workers. */
class IRunner
{
public:
  virtual ~IRunner() = default;

  /** Sends the run once. Never blocks; the outcome comes later, from another
   * thread. */
  virtual void Start(core::StartRun aStart) = 0;

  /** Stops a task, best effort. Never blocks. */
  virtual void Stop(core::StopRun aStop) = 0;

  /** Asks a worker that holds runs by leases. Never blocks. */
  virtual void Observe(core::ObserveRuns aObserve) = 0;
};

/** Starts and stops runs by HTTP, as docs/API.md has it. */
class HttpRunner : public IRunner
{
public:
  using OutcomeSink = std::function<void(core::RunFinished)>;

  /**
   * @param aSelf the agent; its name and life make run ids unique where runs
   * of several agents and lives meet.
   * @param aSink gets the outcomes, from the client's thread.
   */
  HttpRunner(network::IHttpClient& aClient,
             const core::ProcessId& aSelf,
             OutcomeSink aSink);

  void Start(core::StartRun aStart) override;
  void Stop(core::StopRun aStop) override;
  /** Workers of the product's own interface hold no leases. */
  void Observe(core::ObserveRuns /*aObserve*/) override {}

private:
  std::string RunName(core::RunId aRun) const;

  network::IHttpClient& m_client;
  std::string m_prefix;
  OutcomeSink m_sink;
};

/** @return the number of the run called @p aName, whichever agent started it;
 * ids of different agents differ. */
std::optional<core::RunId>
ParseRunName(std::string_view aName);

} // namespace mulberrysail::daemon
