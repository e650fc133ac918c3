#pragma once

#include <zmq.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace mulberrysail::network {

/** Sets the options that all sockets of a transport share. The operating system
 * closes a connection over which nothing arrives for 4 s.
 * @param aHighWaterMark limits the messages queued in each direction. */
void
SetCommonOptions(zmq::socket_t& aSocket, std::uint32_t aHighWaterMark);

/** Receives without blocking.
 * @return the next message part, if there is one. */
std::optional<zmq::message_t>
TryReceive(zmq::socket_t& aSocket);

/** A change of an outgoing connection. */
enum class ConnectionEvent : std::uint8_t
{
  Connected,
  Disconnected,
};

/** A connection to a peer that is re-established after each loss, for the
 * lifetime of the object. Accepts messages only while it is connected. */
class OutgoingConnection
{
public:
  /**
   * Starts to connect; throws zmq::error_t if the URL is malformed.
   * @param aRoutingId identifies this connection at the listener; must be
   * unique.
   */
  OutgoingConnection(zmq::context_t& aContext,
                     const std::string& aUrl,
                     const std::string& aRoutingId,
                     std::uint32_t aHighWaterMark);
  ~OutgoingConnection();
  OutgoingConnection(const OutgoingConnection&) = delete;
  OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  zmq::socket_t& Socket() { return m_socket; }

  /** @return descriptors of which one becomes readable when events or messages
   * arrive after all earlier ones were read. */
  std::array<int, 2> Descriptors() const;

  /** @return the next change of the connection, if there is one. */
  std::optional<ConnectionEvent> NextEvent();

  /** @return whether the connection accepted the message. */
  bool Send(const std::string& aBytes);

private:
  zmq::socket_t m_socket;
  zmq::socket_t m_monitor;
};

} // namespace mulberrysail::network
