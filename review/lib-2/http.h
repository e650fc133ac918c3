#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace mulberrysail::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** A request of HTTP/1.1 as it was received. Names of headers are in lower
 * case. */
struct Request
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

struct Response
{
  int m_status = 200;
  std::string m_body = "{}";
};

/** @return the response; absent if the request stays without one, on a channel
 * that stays open. */
using Handler = std::function<std::optional<Response>(const Request&)>;

/** A server of HTTP/1.1 with one thread a connection. */
class HttpServer
{
public:
  /** Listens at @p aIp and @p aPort, and serves with @p aHandler.
   * @throws std::runtime_error if the address cannot be bound. */
  HttpServer(const std::string& aIp, std::uint16_t aPort, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** While cut, neither requests nor responses arrive, without a reset. */
  void SetCut(bool aCut) { m_cut = aCut; }
  bool IsCut() const { return m_cut; }

  /** Closes all connections, as the end of the process does. */
  void CloseConnections();

private:
  struct Connection
  {
    int m_socket = -1;
    std::thread m_thread;
  };

  void Accept();
  void Serve(int aSocket);

  const Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_cut{ false };
  std::atomic<bool> m_stopped{ false };
  std::mutex m_mutex;
  std::list<Connection> m_connections;
  std::thread m_acceptor;
};

/** One connection of a client. */
class HttpConnection
{
public:
  HttpConnection(std::string aIp, std::uint16_t aPort);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Sends a request.
   * @return false if it could not be sent. */
  bool Send(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::map<std::string, std::string>& aHeaders = {});

  /** @return the response; absent if the connection ends or @p aTimeout passes
   * before it is complete. */
  std::optional<Response> Receive(Milliseconds aTimeout);

  /** Closes the connection. */
  void Close();

private:
  const std::string m_ip;
  const std::uint16_t m_port;
  int m_socket = -1;
};

/** Sends one request on a connection of its own.
 * @return the response; absent without one within @p aTimeout. */
std::optional<Response>
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     Milliseconds aTimeout,
     const std::map<std::string, std::string>& aHeaders = {});

} // namespace mulberrysail::review
