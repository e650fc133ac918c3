#pragma once

#include "core/types/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrysail::network {

/** One request as received. */
struct HttpRequest
{
  std::string m_method;
  /** Decoded, without the query. */
  std::string m_path;
  std::map<std::string, std::string, std::less<>> m_query;
  /** Field names are in lower case; values of repeated fields are joined with
   * ", ". */
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
  /** When the whole request had been read from the connection. */
  std::chrono::steady_clock::time_point m_readAt =
    std::chrono::steady_clock::now();
};

/** A response that is sent in parts, with chunked transfer encoding.
 * Thread-safe. Releasing the last reference ends the response. */
class IHttpStream
{
public:
  virtual ~IHttpStream() = default;

  /** Sends one part. @return false if the response or its connection has
   * ended. */
  virtual bool Write(std::string aPart) = 0;

  /** Ends the response; the connection stays open for the next request. */
  virtual void Close() = 0;
};

/** Receives the stream of a response after its head was sent. */
using HttpStreamHandler = std::function<void(std::shared_ptr<IHttpStream>)>;

/** One response to send. */
struct HttpResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
  /** If set, the response is sent in parts: first m_body, unless it is empty,
   * then the data written to the stream. The handler is called before the
   * responder returns. The request's DisconnectHook stays registered until the
   * stream is closed. */
  HttpStreamHandler m_onStream = nullptr;
};

/** Sends the response to one request. May be called from any thread; only the
 * first call has an effect. If the responder is destroyed without a call, the
 * caller receives an internal error. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Notifies the handler that the caller's connection ended before the response
 * was given. Called at most once, on a server thread. The hook is released when
 * the response is given. */
using DisconnectHook = std::function<void()>;

/** Handles one request. Called on a server thread; must not block. With one
 * server thread, not called for a client that had left before its request was
 * read, or leaves within HttpServerOptions::m_settleTime.
 * @return a hook for the loss of the connection; may be empty. */
using HttpHandler = std::function<DisconnectHook(HttpRequest, HttpResponder)>;

struct HttpServerOptions
{
  std::string m_address = "127.0.0.1";
  /** 0 lets the operating system choose a port. */
  std::uint16_t m_port = 0;
  std::uint32_t m_threads = 2;
  /** Connections over the limit are closed immediately. The limit is capped
   * at three quarters of the process's limit of open files. */
  std::uint32_t m_maxConnections = 4096;
  /** A request with a larger body gets status 413. A body of more than twice
   * this size is not read and its connection is closed. */
  std::uint64_t m_maxBodyBytes = 4ULL << 20U;
  /** A request with a larger head gets status 431. A header field of more than
   * twice this size is not read and its connection is closed. */
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  /** Limit for reading one whole request, and for an idle connection. */
  std::chrono::milliseconds m_readTimeout{ 30000 };
  /** Time between the reading and the handling of a request, used with one
   * server thread. If a connection is reset while a request is on its way, the
   * reset follows the request, and the client may send it elsewhere at once. */
  std::chrono::milliseconds m_settleTime{ 0 };
  /** Called on a server thread at each kReadCheckInterval; may be empty. With
   * one server thread, all data that had arrived from clients, and all ends of
   * their connections, before one call have been handled before the next. */
  std::function<void()> m_onReadCheck = nullptr;
};

/** Interval between two calls of HttpServerOptions::m_onReadCheck. */
inline constexpr std::chrono::milliseconds kReadCheckInterval{ 50 };

/** An HTTP server with a fixed number of threads. */
class IHttpServer
{
public:
  virtual ~IHttpServer() = default;

  /** @return the port that the server listens on. */
  virtual std::uint16_t Port() const = 0;

  /** Makes the server close each connection after its last open response, so
   * that clients do not reuse a connection that is about to end. New
   * connections are still accepted. */
  virtual void EndKeepAlive() = 0;

  /** Makes the server close a share of the present connections, each after its
   * next response that leaves no other one open, so that their clients connect
   * anew. Connections with open requests come first.
   * @param aPercent 0 to 100; the number of connections is rounded up. */
  virtual void CloseConnections(std::uint32_t aPercent) = 0;

  /** Accepts no new connections. Requests in progress are still answered; each
   * connection is closed after its last open response. */
  virtual void StopAccepting() = 0;

  /** @return the number of responses that were given but not yet written to
   * their connections, without streams. */
  virtual std::size_t UnwrittenResponses() const = 0;

  /** @return the number of requests that were read but not yet passed to the
   * handler, see HttpServerOptions::m_settleTime. */
  virtual std::size_t UnhandledRequests() const = 0;

  /** Ends all threads. Responses not yet written are lost and no hook is
   * called afterwards. Must not be called from a server thread. */
  virtual void Stop() = 0;
};

/** Starts a server.
 * @return the server, or InvalidSettings if it cannot listen on the address. */
core::Result<std::unique_ptr<IHttpServer>>
StartHttpServer(const HttpServerOptions& aOptions, HttpHandler aHandler);

} // namespace mulberrysail::network
