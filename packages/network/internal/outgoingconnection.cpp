#include "network/internal/outgoingconnection.h"

#include <cstring>

namespace mulberrysail::network {

namespace {

/** Time to send the remaining messages when a socket is closed. */
constexpr int kLingerMs = 200;
/** The receiver closes the connection on a larger message. */
constexpr std::int64_t kMaxMessageBytes = 64LL << 20U;
constexpr int kHeartbeatMs = 2000;
constexpr int kHeartbeatTimeoutMs = 2000;
/** The peer closes the connection if nothing arrives for this long after a
 * heartbeat. */
constexpr int kHeartbeatTtlMs = 4000;
/** Time without traffic after which the operating system probes a connection,
 * and the interval and number of its probes. */
constexpr int kProbeAfterS = 2;
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;
/** Time after which a connection is closed whose data is not acknowledged. */
constexpr int kUnacknowledgedMs = 3000;
constexpr int kHandshakeTimeoutMs = 2000;
constexpr int kConnectTimeoutMs = 1000;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 1000;

/** Closes a connection whose peer does not answer for 4 s, also if the peer's
 * operating system does. Only the connecting end needs it, as it is the one
 * that can connect again. */
void
EnableHeartbeats(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  aSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  aSocket.set(zmq::sockopt::heartbeat_ttl, kHeartbeatTtlMs);
}

} // namespace

void
SetCommonOptions(zmq::socket_t& aSocket, std::uint32_t aHighWaterMark)
{
  aSocket.set(zmq::sockopt::linger, kLingerMs);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  aSocket.set(zmq::sockopt::sndhwm, static_cast<int>(aHighWaterMark));
  aSocket.set(zmq::sockopt::rcvhwm, static_cast<int>(aHighWaterMark));
  aSocket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  aSocket.set(zmq::sockopt::tcp_keepalive, 1);
  aSocket.set(zmq::sockopt::tcp_keepalive_idle, kProbeAfterS);
  aSocket.set(zmq::sockopt::tcp_keepalive_intvl, kProbeIntervalS);
  aSocket.set(zmq::sockopt::tcp_keepalive_cnt, kProbes);
  aSocket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedMs);
}

std::optional<zmq::message_t>
TryReceive(zmq::socket_t& aSocket)
{
  zmq::message_t message;
  if (!aSocket.recv(message, zmq::recv_flags::dontwait)) {
    return std::nullopt;
  }
  return message;
}

OutgoingConnection::OutgoingConnection(zmq::context_t& aContext,
                                       const std::string& aUrl,
                                       const std::string& aRoutingId,
                                       std::uint32_t aHighWaterMark)
  : m_socket(aContext, zmq::socket_type::dealer)
  , m_monitor(aContext, zmq::socket_type::pair)
{
  SetCommonOptions(m_socket, aHighWaterMark);
  EnableHeartbeats(m_socket);
  m_socket.set(zmq::sockopt::routing_id, aRoutingId);
  m_socket.set(zmq::sockopt::immediate, true);
  m_socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  m_socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  m_socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  const std::string monitorUrl = "inproc://monitor/" + aRoutingId;
  if (zmq_socket_monitor(m_socket.handle(),
                         monitorUrl.c_str(),
                         ZMQ_EVENT_HANDSHAKE_SUCCEEDED |
                           ZMQ_EVENT_DISCONNECTED) != 0) {
    throw zmq::error_t();
  }
  m_monitor.set(zmq::sockopt::linger, 0);
  m_monitor.connect(monitorUrl);
  m_socket.connect(aUrl);
}

OutgoingConnection::~OutgoingConnection()
{
  zmq_socket_monitor(m_socket.handle(), nullptr, 0);
}

std::array<int, 2>
OutgoingConnection::Descriptors() const
{
  return { m_socket.get(zmq::sockopt::fd), m_monitor.get(zmq::sockopt::fd) };
}

std::optional<ConnectionEvent>
OutgoingConnection::NextEvent()
{
  const std::optional<zmq::message_t> head = TryReceive(m_monitor);
  if (!head) {
    return std::nullopt;
  }
  // The second part, the address, arrives together with the first.
  static_cast<void>(TryReceive(m_monitor));
  std::uint16_t number = 0;
  std::memcpy(&number, head->data(), sizeof(number));
  return number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED
           ? ConnectionEvent::Connected
           : ConnectionEvent::Disconnected;
}

bool
OutgoingConnection::Send(const std::string& aBytes)
{
  // Reading the events makes the socket process a connection that was opened
  // or lost just now; a send alone may defer that.
  static_cast<void>(m_socket.get(zmq::sockopt::events));
  return m_socket.send(zmq::buffer(aBytes), zmq::send_flags::dontwait)
    .has_value();
}

} // namespace mulberrysail::network
