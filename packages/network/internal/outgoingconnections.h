#pragma once

#include "network/internal/descriptorpoller.h"
#include "network/internal/outgoingconnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mulberrysail::network {

/** Identifies outgoing connections; values are positive and never reused. */
using ConnectionId = std::uint64_t;

/** An outgoing connection and what is left to do for it. */
struct Outgoing
{
  explicit Outgoing(std::unique_ptr<OutgoingConnection> aConnection)
    : m_connection(std::move(aConnection))
  {
  }

  std::unique_ptr<OutgoingConnection> m_connection;
  /** The connection was opened, but the greeting is not sent yet. */
  bool m_greetingPending = false;
  /** Whether events or messages of the connection must be looked for, though
   * its descriptors may not be readable. */
  bool m_mayHaveInput = true;
};

/** The outgoing connections of a transport, one for each URL. Their descriptors
 * are watched with their ids as keys. For one thread. */
class OutgoingConnections
{
public:
  /** @param aPoller must outlive this object. */
  OutgoingConnections(DescriptorPoller& aPoller,
                      std::string aSelf,
                      std::uint32_t aHighWaterMark);

  /** Opens a connection; throws if the URL is malformed or the connection's
   * descriptors cannot be watched. Does nothing if one is open. */
  void Open(zmq::context_t& aContext, const std::string& aUrl);

  /** @return the ids of the connections to other URLs than @p aWanted. */
  std::vector<ConnectionId> FindUnwanted(
    const std::set<std::string>& aWanted) const;
  void Close(ConnectionId aId);
  void CloseAll();

  Outgoing& At(ConnectionId aId) { return m_byId.at(aId); }
  std::map<ConnectionId, Outgoing>& All() { return m_byId; }

  /** Notes that a descriptor with the key @p aId is readable. */
  void MarkReadable(ConnectionId aId);
  bool AnyMayHaveInput() const;
  bool AnyGreetingPending() const;

private:
  DescriptorPoller& m_poller;
  /** Prefix of the routing ids: the name and incarnation of this process. */
  const std::string m_self;
  const std::uint32_t m_highWaterMark;
  std::map<ConnectionId, Outgoing> m_byId;
  std::map<std::string, ConnectionId> m_idsByUrl;
  ConnectionId m_lastId = 0;
};

} // namespace mulberrysail::network
