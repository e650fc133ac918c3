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

/** A response that is sent in parts, in chunked encoding. Thread-safe.
 * Dropping the last reference ends the response. */
class IHttpStream
{
public:
  virtual ~IHttpStream() = default;

  /** Sends one part. @return false if the response or its connection has
   * ended. */
  virtual bool Write(std::string aPart) = 0;

  /** Ends the response; the connection is kept for the next request. */
  virtual void Close() = 0;
};

/** Gets the stream of a response once its head was sent. */
using HttpStreamHandler = std::function<void(std::shared_ptr<IHttpStream>)>;

struct HttpResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
  /** If set, the response is sent in parts: first m_body, unless it is empty,
   * then what is written to the stream. It is called before the responder
   * returns. The request's DisconnectHook stays in force until the stream is
   * closed. */
  HttpStreamHandler m_onStream = nullptr;
};

/** Answers one request, from any thread, once. If it is dropped unused, the
 * caller gets an internal error. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Tells that the caller's connection ended before it was answered. Called at
 * most once, from a server thread. It is dropped when the answer is given. */
using DisconnectHook = std::function<void()>;

/** Called on a server thread and must not block. May return a hook. */
using HttpHandler = std::function<DisconnectHook(HttpRequest, HttpResponder)>;

struct HttpServerOptions
{
  std::string m_address = "127.0.0.1";
  /** 0 lets the system choose. */
  std::uint16_t m_port = 0;
  std::uint32_t m_threads = 2;
  /** More are closed at once. Lowered to three quarters of the process's
   * limit of open files. */
  std::uint32_t m_maxConnections = 4096;
  /** A larger body is answered with 413. One of more than twice this size is
   * not read and its connection is closed. */
  std::uint64_t m_maxBodyBytes = 4ULL << 20U;
  /** A larger head is answered with 431. A field of more than twice this size
   * is not read and its connection is closed. */
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  /** For one whole request, and for a connection that waits for one. */
  std::chrono::milliseconds m_readTimeout{ 30000 };
};

/** An HTTP server on a bounded set of threads. */
class IHttpServer
{
public:
  virtual ~IHttpServer() = default;

  /** @return the port that it listens on. */
  virtual std::uint16_t Port() const = 0;

  /** From now on connections are closed once they have their answers, so that
   * clients don't reuse one that is about to end. New ones are taken. */
  virtual void EndKeepAlive() = 0;

  /** Takes no new connections; requests in progress are still answered, and
   * connections are closed once they have their answers. */
  virtual void StopAccepting() = 0;

  /** @return answers that were given and are not yet written to their
   * connections; streams are left out. */
  virtual std::size_t UnwrittenResponses() const = 0;

  /** Ends all threads. Answers not yet written are lost. No hook is called
   * any more. Not to be called from a server thread. */
  virtual void Stop() = 0;
};

/** Starts to listen. Fails with InvalidSettings if the address is taken. */
core::Result<std::unique_ptr<IHttpServer>>
StartHttpServer(const HttpServerOptions& aOptions, HttpHandler aHandler);

} // namespace mulberrysail::network
