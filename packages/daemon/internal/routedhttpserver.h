#pragma once

#include "daemon/internal/responsemetrics.h"
#include "daemon/internal/router.h"
#include "daemon/settings/settings.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace mulberrysail::daemon {

/** The HTTP server of a process with its routes. It listens before the rest of
 * the process is there, as its port may be chosen by the system. */
class RoutedHttpServer
{
public:
  RoutedHttpServer() = default;
  ~RoutedHttpServer();
  RoutedHttpServer(const RoutedHttpServer&) = delete;
  RoutedHttpServer& operator=(const RoutedHttpServer&) = delete;

  /** Listens; requests are refused until StartServing(). */
  std::optional<core::Error> Listen(const HttpSettings& aSettings);

  /** Listens at @p aListen, IP:PORT, instead of the address of the settings. */
  std::optional<core::Error> ListenAt(const std::string& aListen,
                                      HttpSettings aSettings);

  /** Serves the routes, to which nothing is added any more. */
  void StartServing() { m_serving = true; }

  /** Has all requests answered by @p aHandler instead of the routes. Not to be
   * called once it is open. */
  void SetHandler(network::HttpHandler aHandler)
  {
    m_handler = std::move(aHandler);
  }

  Router& Routes() { return m_router; }
  ResponseMetrics& Metrics() { return m_metrics; }
  const ResponseMetrics& Metrics() const { return m_metrics; }

  /** @return http://IP:port on which it listens. */
  std::string Url() const;

  /** See network::IHttpServer. */
  void EndKeepAlive();

  /** Takes no new connections. */
  void StopAccepting();
  /** @return whether all answers were written. */
  bool AllResponsesWritten() const;
  void Stop();

private:
  network::DisconnectHook Handle(const network::HttpRequest& aRequest,
                                 network::HttpResponder aResponder);

  Router m_router;
  network::HttpHandler m_handler;
  ResponseMetrics m_metrics;
  std::string m_address;
  std::atomic<bool> m_serving{ false };
  std::unique_ptr<network::IHttpServer> m_server;
};

/** @return "IP:port", with brackets round an IPv6 number. */
std::string
JoinAddress(const std::string& aAddress, std::uint16_t aPort);

} // namespace mulberrysail::daemon
