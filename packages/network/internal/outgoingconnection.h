#pragma once

#include <zmq.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mulberrysail::network {

/** Settings that all sockets of a transport share. */
void
SetCommonOptions(zmq::socket_t& aSocket, std::uint32_t aHighWaterMark);

/** @return the message, or nothing if none is there. */
std::optional<zmq::message_t>
TryReceive(zmq::socket_t& aSocket);

/** What happened to the connection of a dial. */
enum class ConnectionEvent : std::uint8_t
{
  Connected,
  Disconnected,
};

/** A peer that is dialled, again after each loss, until the object goes.
 * Messages are taken only while the connection stands. */
class OutgoingConnection
{
public:
  /**
   * Begins to dial; throws zmq::error_t if the URL can't be read.
   * @param aRoutingId names this dial at the listener; unique.
   */
  OutgoingConnection(zmq::context_t& aContext,
                     const std::string& aUrl,
                     const std::string& aRoutingId,
                     std::uint32_t aHighWaterMark);
  ~OutgoingConnection();
  OutgoingConnection(const OutgoingConnection&) = delete;
  OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  zmq::socket_t& Socket() { return m_socket; }
  zmq::socket_t& Monitor() { return m_monitor; }

  /** @return the next event of the connection, if there is one. */
  std::optional<ConnectionEvent> NextEvent();

  /** @return whether the connection took the message. */
  bool Send(const std::string& aBytes);

private:
  zmq::socket_t m_socket;
  zmq::socket_t m_monitor;
};

} // namespace mulberrysail::network
