#pragma once

#include "core/types/events.h"
#include "core/types/status.h"
#include "daemon/internal/runner.h"
#include "network/ihttpclient.h"
#include "network/ihttpserver.h"
#include "store/iconfigservice.h"
#include "store/istore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** Interfaces between the dispatcher and a platform that has its own
 * protocols. An adapter translates names, formats and calls; it contains no
 * scheduling logic. */
namespace mulberrysail::daemon {

/** Receives the answer to one submission. Called at most once, with no lock
 * held. Not called if the caller disconnects before the core has emitted the
 * answer. */
using AnswerSink = std::function<void(core::Answer)>;

/** The operations of an entry that an adapter's caller handler uses.
 * Thread-safe. */
class IJobGateway
{
public:
  virtual ~IJobGateway() = default;

  /** @return the configuration in force, or null if there is none yet. */
  virtual std::shared_ptr<const core::ConfigChanged> Config() const = 0;

  /** Submits a job.
   * @return the hook to call when the caller's connection ends. */
  virtual network::DisconnectHook Submit(core::SubmitJob aJob,
                                         AnswerSink aSink) = 0;

  /** @return the status of the job that its caller named @p aName, or nothing
   * if no such job is known. */
  virtual std::optional<core::SubmissionStatus> FindStatusByName(
    const std::string& aName) const = 0;

  virtual void Cancel(core::SubmissionId aSubmission) = 0;

  /** @return the number of admitted jobs in a queue that have started no task
   * yet. */
  virtual std::size_t CountPendingJobs(std::string_view aQueue) const = 0;

  /** Records that the adapter rejected a job without calling Submit(). */
  virtual void RecordRejection(std::string_view aName, std::string aReason) = 0;
};

using AgentEventSink = std::function<void(core::AgentEvent)>;

/** Called when input that another process wrote was refused. */
using RejectionHook =
  std::function<void(std::string_view aSource, const core::Error& aError)>;

/** The adapter of one platform. */
class IAdapter
{
public:
  virtual ~IAdapter() = default;

  virtual std::unique_ptr<store::IStore> MakeStore(
    const std::vector<std::string>& aUrls,
    network::IHttpClient& aClient) const = 0;

  /** @return the key of the configuration in the store, and its parser. */
  virtual store::ConfigSource MakeConfigSource() const = 0;

  /** @param aJobs must outlive the handler.
   * @return the handler of callers' requests. */
  virtual network::HttpHandler MakeCallerHandler(IJobGateway& aJobs) const = 0;

  /** @param aWorkerUrl the URL at which the worker receives commands.
   * @param aOnRejected called for each announcement that was refused.
   * @return the handler of workers' announcements. */
  virtual network::HttpHandler MakeWorkerHandler(
    std::string aWorkerUrl,
    AgentEventSink aSink,
    RejectionHook aOnRejected) const = 0;

  /** @param aClient must outlive the runner.
   * @return the client of the workers. */
  virtual std::unique_ptr<IRunner> MakeRunner(network::IHttpClient& aClient,
                                              AgentEventSink aSink) const = 0;
};

} // namespace mulberrysail::daemon
