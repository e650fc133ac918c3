#include "network/internal/connectionregistry.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace mulberrysail::network {

namespace {

/** Caps the limit below the number of open files. If the process ran out of
 * file descriptors, the server would permanently stop accepting. */
std::size_t
ClampConnections(std::size_t aWanted)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return aWanted;
  }
  return std::min<std::size_t>(aWanted, limit.rlim_cur / 4 * 3);
}

} // namespace

ConnectionRegistry::ConnectionRegistry(std::size_t aMaxConnections)
  : m_maxConnections(ClampConnections(aMaxConnections))
{
}

bool
ConnectionRegistry::IsBelowLimit() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_connections.size() < m_maxConnections;
}

void
ConnectionRegistry::AddConnection(std::uint64_t aConnection)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.try_emplace(aConnection);
}

void
ConnectionRegistry::RemoveConnection(std::uint64_t aConnection)
{
  std::map<std::uint64_t, DisconnectHook> unanswered;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto connection = m_connections.find(aConnection);
    if (connection == m_connections.end()) {
      return;
    }
    unanswered = std::move(connection->second.m_unanswered);
    m_connections.erase(connection);
  }
  for (const auto& [request, hook] : unanswered) {
    if (hook) {
      hook();
    }
  }
}

bool
ConnectionRegistry::BeginRequest(RequestId aId)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto connection = m_connections.find(aId.m_connection);
  if (connection == m_connections.end() || connection->second.m_closing) {
    return false;
  }
  connection->second.m_unanswered[aId.m_request];
  connection->second.m_lastRequest = aId.m_request;
  return true;
}

void
ConnectionRegistry::SetHook(RequestId aId, DisconnectHook aHook)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto connection = m_connections.find(aId.m_connection);
  if (connection == m_connections.end()) {
    return;
  }
  const auto request = connection->second.m_unanswered.find(aId.m_request);
  if (request != connection->second.m_unanswered.end()) {
    request->second = std::move(aHook);
  }
}

bool
ConnectionRegistry::IsOpen(RequestId aId) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto connection = m_connections.find(aId.m_connection);
  return connection != m_connections.end() &&
         connection->second.m_unanswered.contains(aId.m_request);
}

bool
ConnectionRegistry::EndRequest(RequestId aId)
{
  // Declared before the lock, so that the hook is destroyed after the lock is
  // released: it may own objects of the handler.
  DisconnectHook hook;
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_connections.find(aId.m_connection);
  if (found == m_connections.end()) {
    return false;
  }
  Connection& connection = found->second;
  const auto request = connection.m_unanswered.find(aId.m_request);
  if (request != connection.m_unanswered.end()) {
    hook = std::move(request->second);
    connection.m_unanswered.erase(request);
  }
  const bool last = connection.m_unanswered.empty() &&
                    connection.m_lastRequest == aId.m_request;
  connection.m_closing =
    connection.m_closing ||
    ((m_draining || connection.m_closeWhenAnswered) && last);
  return connection.m_closing;
}

void
ConnectionRegistry::Drain()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = true;
}

void
ConnectionRegistry::CloseShare(std::uint32_t aPercent)
{
  constexpr std::size_t kHundred = 100;
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::size_t left =
    (m_connections.size() * aPercent + kHundred - 1) / kHundred;
  for (const bool busy : { true, false }) {
    for (auto& [id, connection] : m_connections) {
      if (left > 0 && connection.m_unanswered.empty() != busy) {
        connection.m_closeWhenAnswered = true;
        --left;
      }
    }
  }
}

void
ConnectionRegistry::Clear()
{
  std::unordered_map<std::uint64_t, Connection> connections;
  const std::lock_guard<std::mutex> lock(m_mutex);
  connections.swap(m_connections);
}

} // namespace mulberrysail::network
