#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrysail::network {

struct HttpCall
{
  std::string m_method = "POST";
  std::string m_url;
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
  /** Of the whole call; zero for none. */
  std::chrono::milliseconds m_timeout{ 10000 };
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  /** Streams only: ends the call when nothing was received for so long; zero
   * for no limit. */
  std::chrono::milliseconds m_idleTimeout{ 0 };
};

/** How far a call came. */
enum class HttpDelivery : std::uint8_t
{
  /** An answer was read whole; its status may still be an error's. A body
   * whose end is marked only by the end of the connection isn't whole. */
  Answered,
  /** No byte of the request was sent: the server can't have acted on it. */
  NeverSent,
  /** The server may have acted on it. */
  Lost,
};

struct HttpOutcome
{
  HttpDelivery m_delivery = HttpDelivery::Lost;
  int m_status = 0;
  std::string m_body;
  /** What went wrong, in words. */
  std::string m_detail;
};

/** Called on the client's thread; must not block. */
using HttpCallback = std::function<void(HttpOutcome)>;

/** Gets parts of a body as they come. @return false to end the call. */
using HttpChunkHandler = std::function<bool(std::string_view)>;

/**
 * HTTP calls on one thread of its own, with connections kept for reuse.
 * A call is sent at most once: nothing is tried again inside.
 */
class IHttpClient
{
public:
  virtual ~IHttpClient() = default;

  /** Starts a call; @p aCallback gets its outcome once. Thread-safe. */
  virtual void Call(HttpCall aCall, HttpCallback aCallback) = 0;

  /** Starts a call whose answer is read in parts, as for a watch.
   * @p aCallback comes when it ends; its body is empty. */
  virtual void Stream(HttpCall aCall,
                      HttpChunkHandler aOnChunk,
                      HttpCallback aCallback) = 0;

  /** Ends the thread. Calls still open get Lost, or NeverSent where nothing
   * was sent; so do calls that are made later, on the thread that makes them.
   * Not to be called from a callback. */
  virtual void Stop() = 0;
};

struct HttpClientOptions
{
  /** Connections kept open and unused, in all. */
  std::uint32_t m_maxIdleConnections = 64;
  /** Connections to one server; further calls wait. 0 for no limit. */
  std::uint32_t m_maxConnectionsPerHost = 0;
  /** An answer with a larger body is Lost. */
  std::uint64_t m_maxBodyBytes = 16ULL << 20U;
};

std::unique_ptr<IHttpClient>
StartHttpClient(const HttpClientOptions& aOptions);

} // namespace mulberrysail::network
