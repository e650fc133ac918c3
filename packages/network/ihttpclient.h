#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrysail::network {

/** One HTTP request to send. */
struct HttpCall
{
  std::string m_method = "POST";
  std::string m_url;
  std::map<std::string, std::string, std::less<>> m_headers;
  std::string m_body;
  /** Limit for the whole call; zero for no limit. */
  std::chrono::milliseconds m_timeout{ 10000 };
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  /** The call ends after this time without received data; zero for no limit.
   * With a larger m_timeout, a response may take long while data arrives. */
  std::chrono::milliseconds m_idleTimeout{ 0 };
  /** Limit for the time to the first byte of the response; zero for
   * m_idleTimeout. */
  std::chrono::milliseconds m_responseTimeout{ 0 };
};

/** Whether the request reached the server and a response came back. */
enum class HttpDelivery : std::uint8_t
{
  /** A complete response was received; its status may still be an error. A
   * body that is delimited only by the end of the connection does not count
   * as complete. */
  Answered,
  /** No byte of the request was sent, so the server cannot have acted on it.
   */
  NeverSent,
  /** No complete response was received; the server may have acted on the
   * request. */
  Lost,
};

/** Result of one call. */
struct HttpOutcome
{
  HttpDelivery m_delivery = HttpDelivery::Lost;
  int m_status = 0;
  std::string m_body;
  /** Description of the failure; empty if the call was answered. */
  std::string m_detail;
};

/** Receives the outcome of a call. Called on the client's thread; must not
 * block. */
using HttpCallback = std::function<void(HttpOutcome)>;

/** Receives each part of a response body as it arrives.
 * @return false to end the call. */
using HttpChunkHandler = std::function<bool(std::string_view)>;

/**
 * An HTTP client with its own thread and a pool of reused connections. A
 * request is sent at most once: the client never retries.
 */
class IHttpClient
{
public:
  virtual ~IHttpClient() = default;

  /** Starts a call; @p aCallback is called once with its outcome.
   * Thread-safe. */
  virtual void Call(HttpCall aCall, HttpCallback aCallback) = 0;

  /** Starts a call whose response is read in parts, such as a watch.
   * Thread-safe.
   * @param aOnChunk receives the parts of the body.
   * @param aCallback is called once when the call ends, with an empty body. */
  virtual void Stream(HttpCall aCall,
                      HttpChunkHandler aOnChunk,
                      HttpCallback aCallback) = 0;

  /** Ends the thread. Open calls end as Lost, or as NeverSent if no byte was
   * sent. Later calls end as NeverSent; their callbacks run on the calling
   * thread. Must not be called from a callback. */
  virtual void Stop() = 0;
};

struct HttpClientOptions
{
  /** Idle connections kept open, over all servers. */
  std::uint32_t m_maxIdleConnections = 64;
  /** Connections to one server; further calls wait for a free connection. 0
   * for no limit. */
  std::uint32_t m_maxConnectionsPerHost = 0;
  /** A call whose response body is larger ends as Lost. Does not apply to
   * streams. */
  std::uint64_t m_maxBodyBytes = 16ULL << 20U;
};

/** Creates a client and starts its thread. */
std::unique_ptr<IHttpClient>
StartHttpClient(const HttpClientOptions& aOptions);

} // namespace mulberrysail::network
