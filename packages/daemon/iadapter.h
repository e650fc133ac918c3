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

/** What stands between the product and a platform that speaks otherwise. An
 * adapter translates names, formats and calls, and decides nothing. */
namespace mulberrysail::daemon {

/** Gets the answer to one submission; called once, with no lock held. */
using AnswerSink = std::function<void(core::Answer)>;

/** What an entry offers to the front of an adapter. Thread-safe. */
class IJobGateway
{
public:
  virtual ~IJobGateway() = default;

  /** @return the configuration in force, or null if none is known yet. */
  virtual std::shared_ptr<const core::ConfigChanged> Config() const = 0;

  /** Hands over a job. @return what ends the wait for its answer. */
  virtual network::DisconnectHook Submit(core::SubmitJob aJob,
                                         AnswerSink aSink) = 0;

  /** @return where the job stands that its caller calls @p aName. */
  virtual std::optional<core::SubmissionStatus> Find(
    const std::string& aName) const = 0;

  virtual void Cancel(core::SubmissionId aSubmission) = 0;

  /** @return admitted jobs of a queue of which nothing was started yet. */
  virtual std::size_t Pending(std::string_view aQueue) const = 0;

  /** Records an event about a job that is refused before it is handed over. */
  virtual void RecordRejection(std::string_view aName, std::string aReason) = 0;
};

using AgentEventSink = std::function<void(core::AgentEvent)>;

/** One platform. */
class IAdapter
{
public:
  virtual ~IAdapter() = default;

  virtual std::unique_ptr<store::IStore> MakeStore(
    const std::vector<std::string>& aUrls,
    network::IHttpClient& aClient) const = 0;

  /** @return where the configuration lies and how it is read. */
  virtual store::ConfigSource MakeConfigSource() const = 0;

  /** @return what answers callers. @param aJobs must outlive it. */
  virtual network::HttpHandler MakeCallerHandler(IJobGateway& aJobs) const = 0;

  /** @return what workers announce themselves to.
   * @param aWorkerUrl where the worker takes orders. */
  virtual network::HttpHandler MakeWorkerHandler(
    std::string aWorkerUrl,
    AgentEventSink aSink) const = 0;

  /** @return what speaks with workers. @param aClient must outlive it. */
  virtual std::unique_ptr<IRunner> MakeRunner(network::IHttpClient& aClient,
                                              AgentEventSink aSink) const = 0;
};

} // namespace mulberrysail::daemon
