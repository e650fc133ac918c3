#pragma once

#include "network/ihttpserver.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>

namespace mulberrysail::network {

/** One request on one connection of the server. */
struct RequestId
{
  std::uint64_t m_connection = 0;
  std::uint64_t m_request = 0;
};

/** The open connections of a server with the requests that are unanswered on
 * each, and whom to tell when a connection ends. Thread-safe. */
class ConnectionRegistry
{
public:
  /** The limit is lowered to three quarters of that of open files. */
  explicit ConnectionRegistry(std::size_t aMaxConnections);

  bool IsBelowLimit() const;
  void AddConnection(std::uint64_t aConnection);
  /** Calls the hooks of all requests still unanswered. */
  void RemoveConnection(std::uint64_t aConnection);

  /** @return false if the connection is about to be closed and the request
   * must not be handled. */
  bool BeginRequest(RequestId aId);
  /** Keeps the hook, unless the request was answered meanwhile. */
  void SetHook(RequestId aId, DisconnectHook aHook);
  /** @return whether the request is unanswered and its connection open. */
  bool IsOpen(RequestId aId) const;
  /** @return whether to close the connection after the answer. */
  bool EndRequest(RequestId aId);

  /** From now on connections are closed after their last answer. */
  void Drain();
  /** Forgets all connections without calling their hooks. */
  void Clear();

private:
  struct Connection
  {
    std::map<std::uint64_t, DisconnectHook> m_unanswered;
    std::uint64_t m_lastRequest = 0;
    bool m_closing = false;
  };

  mutable std::mutex m_mutex;
  const std::size_t m_maxConnections;
  bool m_draining = false;
  std::unordered_map<std::uint64_t, Connection> m_connections;
};

} // namespace mulberrysail::network
