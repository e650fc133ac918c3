#pragma once

#include "core/types/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrysail::network {

struct HttpRequest
{
  std::string m_method;
  /** Without the query. */
  std::string m_path;
  std::map<std::string, std::string, std::less<>> m_query;
  /** Names in lower case. */
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
};

struct HttpResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
};

/** Answers one request, from any thread, once. If it is dropped unused, the
 * caller gets an internal error. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Tells that the caller's connection ended before it was answered. Called at
 * most once, from a server thread. */
using DisconnectHook = std::function<void()>;

/** Called on a server thread and must not block. May return a hook. */
using HttpHandler = std::function<DisconnectHook(HttpRequest, HttpResponder)>;

struct HttpServerOptions
{
  std::string m_address = "127.0.0.1";
  /** 0 lets the system choose. */
  std::uint16_t m_port = 0;
  std::uint32_t m_threads = 2;
  std::uint32_t m_maxConnections = 4096;
  std::uint64_t m_maxBodyBytes = 4ULL << 20U;
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  std::chrono::milliseconds m_readTimeout{ 30000 };
};

/** An HTTP server on a bounded set of threads. */
class IHttpServer
{
public:
  virtual ~IHttpServer() = default;

  /** @return the port that it listens on. */
  virtual std::uint16_t Port() const = 0;

  /** Takes no new connections; requests in progress are still answered. */
  virtual void StopAccepting() = 0;

  /** Ends all threads. Answers not yet written are lost. */
  virtual void Stop() = 0;
};

/** Starts to listen. Fails with InvalidSettings if the address is taken. */
core::Result<std::unique_ptr<IHttpServer>>
StartHttpServer(const HttpServerOptions& aOptions, HttpHandler aHandler);

} // namespace mulberrysail::network
