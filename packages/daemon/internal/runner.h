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

  /** Requests that a worker stop the run of a task. The request is not retried
   * and its result is not reported. Never blocks. */
  virtual void Stop(core::StopRun aStop) = 0;

  /** Queries a worker for the state of its leased runs. The result is reported
   * later, from another thread. Never blocks. */
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
   * a worker or endpoint that receives runs from several agents or
   * incarnations.
   * @param aSink receives the outcomes, on the thread of the client.
   */
  HttpRunner(network::IHttpClient& aClient,
             const core::ProcessId& aSelf,
             OutcomeSink aSink);

  void Start(core::StartRun aStart) override;
  void Stop(core::StopRun aStop) override;
  /** Does nothing: the native interface cannot query the runs of a worker. */
  void Observe(core::ObserveRuns /*aObserve*/) override {}

private:
  std::string RunName(core::RunId aRun) const;

  network::IHttpClient& m_client;
  std::string m_prefix;
  OutcomeSink m_sink;
};

/** @return the run id at the end of @p aName, or nothing if the name has
 * another format. The agent in the name is not checked, as run ids are unique
 * across agents. */
std::optional<core::RunId>
ParseRunName(std::string_view aName);

} // namespace mulberrysail::daemon
