#include "daemon/internal/routedhttpserver.h"

#include "network/errorresponse.h"

#include <utility>

namespace mulberrysail::daemon {

RoutedHttpServer::~RoutedHttpServer()
{
  Stop();
}

std::optional<core::Error>
RoutedHttpServer::Listen(const HttpSettings& aSettings)
{
  network::HttpServerOptions options;
  options.m_address = aSettings.m_address;
  options.m_port = aSettings.m_port;
  options.m_threads = aSettings.m_threads;
  options.m_maxConnections = aSettings.m_maxConnections;
  options.m_maxBodyBytes = aSettings.m_maxBodyBytes;
  options.m_maxHeaderBytes = aSettings.m_maxHeaderBytes;
  options.m_onReadCheck = m_onReadCheck;
  options.m_settleTime = m_settleTime;
  core::Result<std::unique_ptr<network::IHttpServer>> server =
    network::StartHttpServer(options,
                             [this](const network::HttpRequest& aRequest,
                                    network::HttpResponder aResponder) {
                               return Handle(aRequest, std::move(aResponder));
                             });
  if (!server) {
    return server.error();
  }
  m_address = aSettings.m_address;
  m_server = std::move(server).value();
  return std::nullopt;
}

std::optional<core::Error>
RoutedHttpServer::ListenAt(const std::string& aListen, HttpSettings aSettings)
{
  const std::size_t colon = aListen.rfind(':');
  aSettings.m_address = aListen.substr(0, colon);
  aSettings.m_port =
    static_cast<std::uint16_t>(std::stoul(aListen.substr(colon + 1)));
  return Listen(aSettings);
}

std::string
RoutedHttpServer::Url() const
{
  return "http://" + JoinAddress(m_address, m_server->Port());
}

void
RoutedHttpServer::EndKeepAlive()
{
  if (m_server) {
    m_server->EndKeepAlive();
  }
}

void
RoutedHttpServer::CloseConnections(std::uint32_t aPercent)
{
  if (m_server) {
    m_server->CloseConnections(aPercent);
  }
}

void
RoutedHttpServer::StopAccepting()
{
  if (m_server) {
    m_server->StopAccepting();
  }
}

bool
RoutedHttpServer::AllResponsesWritten() const
{
  return !m_server || (m_server->UnhandledRequests() == 0 &&
                       m_server->UnwrittenResponses() == 0);
}

void
RoutedHttpServer::Stop()
{
  if (m_server) {
    m_server->Stop();
  }
}

void
RoutedHttpServer::StartServing()
{
  m_serving = true;
  m_heldRequests.Release(ServeHandler());
}

network::HttpHandler
RoutedHttpServer::ServeHandler()
{
  return [this](const network::HttpRequest& aRequest,
                network::HttpResponder aResponder) {
    return Serve(aRequest, std::move(aResponder));
  };
}

network::DisconnectHook
RoutedHttpServer::Handle(const network::HttpRequest& aRequest,
                         network::HttpResponder aResponder)
{
  if (m_serving) {
    return Serve(aRequest, std::move(aResponder));
  }
  if (m_holdsRequests) {
    return m_heldRequests.Add(aRequest, std::move(aResponder), ServeHandler());
  }
  aResponder(network::MakeErrorResponse(core::ErrorKind::Overloaded,
                                        { "the process is starting" }));
  return {};
}

network::DisconnectHook
RoutedHttpServer::Serve(const network::HttpRequest& aRequest,
                        network::HttpResponder aResponder)
{
  network::HttpResponder responder =
    [this, answer = std::move(aResponder)](network::HttpResponse aResponse) {
      m_metrics.CountResponse(aResponse.m_status);
      answer(std::move(aResponse));
    };
  return m_handler ? m_handler(aRequest, std::move(responder))
                   : m_router.Handle(aRequest, std::move(responder));
}

std::string
JoinAddress(const std::string& aAddress, std::uint16_t aPort)
{
  const bool ipv6 = aAddress.find(':') != std::string::npos;
  return (ipv6 ? "[" + aAddress + "]" : aAddress) + ":" + std::to_string(aPort);
}

} // namespace mulberrysail::daemon
