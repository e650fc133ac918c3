#include "network/internal/outgoingconnections.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::network {

OutgoingConnections::OutgoingConnections(DescriptorPoller& aPoller,
                                         std::string aSelf,
                                         std::uint32_t aHighWaterMark)
  : m_poller(aPoller)
  , m_self(std::move(aSelf))
  , m_highWaterMark(aHighWaterMark)
{
}

void
OutgoingConnections::Open(zmq::context_t& aContext, const std::string& aUrl)
{
  if (m_idsByUrl.contains(aUrl)) {
    return;
  }
  const ConnectionId id = ++m_lastId;
  std::unique_ptr<OutgoingConnection> connection =
    std::make_unique<OutgoingConnection>(
      aContext, aUrl, m_self + "/" + std::to_string(id), m_highWaterMark);
  for (const int descriptor : connection->Descriptors()) {
    m_poller.Add(descriptor, id);
  }
  m_byId.emplace(id, std::move(connection));
  m_idsByUrl.emplace(aUrl, id);
}

std::vector<ConnectionId>
OutgoingConnections::FindUnwanted(const std::set<std::string>& aWanted) const
{
  std::vector<ConnectionId> unwanted;
  unwanted.reserve(m_idsByUrl.size());
  for (const auto& [url, id] : m_idsByUrl) {
    if (!aWanted.contains(url)) {
      unwanted.push_back(id);
    }
  }
  return unwanted;
}

void
OutgoingConnections::Close(ConnectionId aId)
{
  for (const int descriptor : At(aId).m_connection->Descriptors()) {
    m_poller.Remove(descriptor);
  }
  m_byId.erase(aId);
  std::erase_if(m_idsByUrl,
                [aId](const auto& aPair) { return aPair.second == aId; });
}

void
OutgoingConnections::CloseAll()
{
  m_byId.clear();
  m_idsByUrl.clear();
}

void
OutgoingConnections::MarkReadable(ConnectionId aId)
{
  const auto outgoing = m_byId.find(aId);
  if (outgoing != m_byId.end()) {
    outgoing->second.m_mayHaveInput = true;
  }
}

bool
OutgoingConnections::AnyMayHaveInput() const
{
  return std::any_of(m_byId.begin(), m_byId.end(), [](const auto& aPair) {
    return aPair.second.m_mayHaveInput;
  });
}

bool
OutgoingConnections::AnyGreetingPending() const
{
  return std::any_of(m_byId.begin(), m_byId.end(), [](const auto& aPair) {
    return aPair.second.m_greetingPending;
  });
}

} // namespace mulberrysail::network
