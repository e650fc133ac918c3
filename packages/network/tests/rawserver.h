#pragma once

#include <asio.hpp>

#include <netinet/tcp.h>

#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace mulberrysail::network::tests {

/** A TCP socket with blocking calls, for tests. */
class RawSocket
{
public:
  explicit RawSocket(asio::ip::tcp::socket aSocket)
    : m_socket(std::move(aSocket))
  {
  }

  void Send(const std::string& aText)
  {
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(aText), ignored);
  }

  /** @return the received data up to and including @p aEnd, or all received
   * data if the connection ends before. */
  std::string ReadUntil(const std::string& aEnd)
  {
    asio::error_code ignored;
    std::size_t size =
      asio::read_until(m_socket, asio::dynamic_buffer(m_input), aEnd, ignored);
    size = size == 0 ? m_input.size() : size;
    std::string text = m_input.substr(0, size);
    m_input.erase(0, size);
    return text;
  }

  /** @return all data received until the other side closes. */
  std::string ReadAll()
  {
    asio::error_code ignored;
    asio::read(m_socket, asio::dynamic_buffer(m_input), ignored);
    return std::exchange(m_input, std::string());
  }

  /** Closes the connection with a TCP reset. */
  void Reset()
  {
    m_socket.set_option(asio::socket_base::linger(true, 0));
    m_socket.close();
  }

  void Close() { m_socket.close(); }

  /** Ends the sent data, and waits until the other side's system has received
   * that end. */
  void EndSending()
  {
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    while (State() == TCP_FIN_WAIT1) {
      std::this_thread::yield();
    }
  }

private:
  /** @return the state of the connection, as in netinet/tcp.h. */
  int State()
  {
    tcp_info info{};
    socklen_t size = sizeof info;
    getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return info.tcpi_state;
  }

  asio::ip::tcp::socket m_socket;
  std::string m_input;
};

/** Accepts the connections of a client under test. */
class RawServer
{
public:
  RawSocket Accept() { return RawSocket(m_acceptor.accept()); }

  std::string Url() const
  {
    return "http://127.0.0.1:" +
           std::to_string(m_acceptor.local_endpoint().port()) + "/";
  }

  /** @return the next pending connection, if there is one. */
  std::optional<RawSocket> TryAccept()
  {
    m_acceptor.non_blocking(true);
    asio::ip::tcp::socket socket(m_context);
    asio::error_code error;
    m_acceptor.accept(socket, error);
    m_acceptor.non_blocking(false);
    if (error) {
      return std::nullopt;
    }
    return RawSocket(std::move(socket));
  }

private:
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor{
    m_context,
    asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)
  };
};

/** Connects to a server under test. */
inline RawSocket
Connect(asio::io_context& aContext, std::uint16_t aPort)
{
  asio::ip::tcp::socket socket(aContext);
  socket.connect({ asio::ip::address_v4::loopback(), aPort });
  return RawSocket(std::move(socket));
}

} // namespace mulberrysail::network::tests
