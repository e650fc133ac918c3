#pragma once

#include "daemon/internal/configholder.h"
#include "daemon/internal/responsemetrics.h"
#include "daemon/internal/router.h"
#include "daemon/internal/shardset.h"
#include "daemon/internal/submissioncodec.h"

namespace mulberrysail::daemon {

/** HTTP routes of an entry for callers, operators and workers. */
class EntryApi
{
public:
  EntryApi(ShardSet& aShards,
           const ConfigHolder& aConfig,
           ResponseMetrics& aMetrics,
           const LimitSettings& aLimits);

  /** Adds the routes to @p aRouter, which must not outlive this object. */
  void AddRoutes(Router& aRouter);

private:
  network::DisconnectHook SubmitRequest(const network::HttpRequest& aRequest,
                                        std::string_view aService,
                                        network::HttpResponder aResponder);
  network::DisconnectHook SubmitJob(const network::HttpRequest& aRequest,
                                    std::string_view aService,
                                    network::HttpResponder aResponder);
  network::DisconnectHook SubmitAndWait(core::SubmitJob aJob,
                                        network::HttpResponder aResponder);
  network::HttpResponse SubmitDetached(core::SubmitJob aJob);
  network::HttpResponse Status(std::string_view aId);
  network::HttpResponse Cancel(std::string_view aId);
  network::HttpResponse Services() const;
  network::HttpResponse LocateAgents(
    const network::HttpRequest& aRequest) const;
  AnswerSink MakeSink(core::WorkKind aKind, network::HttpResponder aResponder);

  ShardSet& m_shards;
  const ConfigHolder& m_config;
  ResponseMetrics& m_metrics;
  LimitSettings m_limits;
};

} // namespace mulberrysail::daemon
