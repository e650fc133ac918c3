#pragma once

#include "clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace mulberrysail::review3 {

/** Field names are in lower case. */
using HttpFields = std::map<std::string, std::string>;

struct HttpRequest
{
  std::string m_method;
  /** Without the query. */
  std::string m_path;
  /** Decoded. */
  HttpFields m_query;
  HttpFields m_fields;
  std::string m_body;
};

struct HttpResponse
{
  int m_status = 200;
  std::string m_body;
};

/** @return the response; absent if the connection is closed without one. */
using HttpHandler =
  std::function<std::optional<HttpResponse>(const HttpRequest&)>;

/** A small HTTP/1.1 server with one thread a connection. */
class HttpServer
{
public:
  /** @throws std::runtime_error if it cannot listen. */
  HttpServer(const std::string& aAddress,
             std::uint16_t aPort,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Ends all open connections. */
  void DropConnections();

private:
  void Accept();
  void Serve(int aSocket);

  const HttpHandler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stopped{ false };
  std::mutex m_mutex;
  std::set<int> m_open;
  std::atomic<int> m_serving{ 0 };
  std::thread m_thread;
};

/** One connection of a client, which stays open between calls. */
class HttpConnection
{
public:
  /** @throws std::runtime_error if the connection is refused. */
  HttpConnection(const std::string& aAddress, std::uint16_t aPort);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void Send(const std::string& aMethod,
            const std::string& aPath,
            const HttpFields& aFields,
            const std::string& aBody) const;

  /** @return the whole response; absent if the connection ended before, or
   * @p aTimeout has passed. */
  std::optional<HttpResponse> Receive(milliseconds aTimeout);

  /** Resets the connection. */
  void Reset();

private:
  int m_socket = -1;
};

/** Makes one call on a connection of its own.
 * @return the response; absent if there was none in time. */
std::optional<HttpResponse>
Call(const std::string& aAddress,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const HttpFields& aFields,
     const std::string& aBody,
     milliseconds aTimeout);

} // namespace mulberrysail::review3
