#pragma once

#include "network/ihttpserver.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>

namespace mulberrysail::network {

/** Identifies one request on one connection of the server. */
struct RequestId
{
  std::uint64_t m_connection = 0;
  std::uint64_t m_request = 0;
};

/** The open connections of a server, with the unanswered requests of each and
 * their disconnect hooks. Thread-safe. */
class ConnectionRegistry
{
public:
  /** @param aMaxConnections is capped at three quarters of the process's limit
   * of open files. */
  explicit ConnectionRegistry(std::size_t aMaxConnections);

  bool IsBelowLimit() const;
  void AddConnection(std::uint64_t aConnection);
  /** Removes the connection and calls the hooks of its unanswered requests. */
  void RemoveConnection(std::uint64_t aConnection);

  /** Registers a request.
   * @return false if the connection is closing and the request must not be
   * handled. */
  bool BeginRequest(RequestId aId);
  /** Stores the hook, unless the request was answered in the meantime. */
  void SetHook(RequestId aId, DisconnectHook aHook);
  /** @return whether the request is unanswered and its connection open. */
  bool IsOpen(RequestId aId) const;
  /** Removes an answered request and its hook.
   * @return whether to close the connection after the response. */
  bool EndRequest(RequestId aId);

  /** Marks connections to be closed after their last open response. */
  void Drain();
  /** Marks a share of the connections, rounded up, to be closed after their
   * last open response; those with open requests first.
   * @param aPercent 0 to 100. */
  void CloseShare(std::uint32_t aPercent);
  /** Removes all connections without calling their hooks. */
  void Clear();

private:
  struct Connection
  {
    std::map<std::uint64_t, DisconnectHook> m_unanswered;
    std::uint64_t m_lastRequest = 0;
    bool m_closing = false;
    /** To be closed with the next response that leaves no request open. */
    bool m_closeWhenAnswered = false;
  };

  mutable std::mutex m_mutex;
  const std::size_t m_maxConnections;
  bool m_draining = false;
  std::unordered_map<std::uint64_t, Connection> m_connections;
};

} // namespace mulberrysail::network
