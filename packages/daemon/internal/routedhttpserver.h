#pragma once

#include "daemon/internal/heldrequests.h"
#include "daemon/internal/responsemetrics.h"
#include "daemon/internal/router.h"
#include "daemon/settings/settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace mulberrysail::daemon {

/** An HTTP server with its routes and response metrics. It listens before the
 * rest of the process is set up, as other parts need its port, which the
 * system may choose. */
class RoutedHttpServer
{
public:
  RoutedHttpServer() = default;
  ~RoutedHttpServer();
  RoutedHttpServer(const RoutedHttpServer&) = delete;
  RoutedHttpServer& operator=(const RoutedHttpServer&) = delete;

  /** Lets requests wait for StartServing() instead of refusing them. Must not
   * be called after Listen(). */
  void HoldUntilServing() { m_holdsRequests = true; }

  /** Sets network::HttpServerOptions::m_onReadCheck. Must not be called after
   * Listen(). */
  void OnReadCheck(std::function<void()> aHook)
  {
    m_onReadCheck = std::move(aHook);
  }

  /** Sets network::HttpServerOptions::m_settleTime. Must not be called after
   * Listen(). */
  void SetSettleTime(core::Duration aTime)
  {
    m_settleTime = std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
  }

  /** Starts to listen. Requests are refused until StartServing(), unless
   * HoldUntilServing() was called. */
  std::optional<core::Error> Listen(const HttpSettings& aSettings);

  /** Starts to listen at @p aListen, in the form IP:PORT, instead of the
   * address and port of @p aSettings. */
  std::optional<core::Error> ListenAt(const std::string& aListen,
                                      HttpSettings aSettings);

  /** Starts to serve requests. No routes may be added afterwards. */
  void StartServing();

  bool IsServing() const { return m_serving; }

  /** Lets @p aHandler answer all requests instead of the routes. Must not be
   * called after StartServing(). */
  void SetHandler(network::HttpHandler aHandler)
  {
    m_handler = std::move(aHandler);
  }

  Router& Routes() { return m_router; }
  ResponseMetrics& Metrics() { return m_metrics; }
  const ResponseMetrics& Metrics() const { return m_metrics; }

  /** @return the URL of the listening socket, http://IP:PORT. */
  std::string Url() const;

  /** See network::IHttpServer. */
  void EndKeepAlive();
  void CloseConnections(std::uint32_t aPercent);

  /** Stops accepting connections. */
  void StopAccepting();
  /** @return whether all requests that were read have been handled, and all
   * responses that were given are written. */
  bool AllResponsesWritten() const;
  void Stop();

private:
  network::DisconnectHook Handle(const network::HttpRequest& aRequest,
                                 network::HttpResponder aResponder);
  network::DisconnectHook Serve(const network::HttpRequest& aRequest,
                                network::HttpResponder aResponder);
  network::HttpHandler ServeHandler();

  Router m_router;
  network::HttpHandler m_handler;
  ResponseMetrics m_metrics;
  std::string m_address;
  bool m_holdsRequests = false;
  HeldRequests m_heldRequests;
  std::function<void()> m_onReadCheck;
  std::chrono::milliseconds m_settleTime{ 0 };
  std::atomic<bool> m_serving{ false };
  std::unique_ptr<network::IHttpServer> m_server;
};

/** @return "IP:PORT", with brackets around an IPv6 address. */
std::string
JoinAddress(const std::string& aAddress, std::uint16_t aPort);

} // namespace mulberrysail::daemon
