#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "network/ihttpclient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::daemon {

/** Starts and stops runs at the endpoint and the workers of an agent. */
class IRunner
{
public:
  virtual ~IRunner() = default;

  /** Sends a run to its endpoint or worker, without a retry. Never blocks. The
   * outcome is reported later, from another thread. */
  virtual void Start(core::StartRun aStart) = 0;

  /** Requests the stop of a task. Best effort, without a retry or a result.
   * Never blocks. */
  virtual void Stop(core::StopRun aStop) = 0;

  /** Queries the runs of a worker that holds runs under leases. Never
   * blocks. */
  virtual void Observe(core::ObserveRuns aObserve) = 0;
};

/** Starts and stops runs by the HTTP interface in docs/API.md. */
class HttpRunner : public IRunner
{
public:
  using OutcomeSink = std::function<void(core::RunFinished)>;

  /**
   * @param aClient must outlive the runner.
   * @param aSelf the agent. Its name and incarnation make run names unique at
   * a worker or endpoint that gets runs from several agents or incarnations.
   * @param aSink receives the outcomes, on the thread of the client.
   */
  HttpRunner(network::IHttpClient& aClient,
             const core::ProcessId& aSelf,
             OutcomeSink aSink);

  void Start(core::StartRun aStart) override;
  void Stop(core::StopRun aStop) override;
  /** Does nothing, as workers of the native interface hold no leases. */
  void Observe(core::ObserveRuns /*aObserve*/) override {}

private:
  std::string RunName(core::RunId aRun) const;

  network::IHttpClient& m_client;
  std::string m_prefix;
  OutcomeSink m_sink;
};

/** @return the id in the run name @p aName, whichever agent started the run, or
 * nothing if the name has another format. Ids of different agents differ. */
std::optional<core::RunId>
ParseRunName(std::string_view aName);

} // namespace mulberrysail::daemon
