#pragma once

#include <asio/ip/tcp.hpp>

namespace mulberrysail::network {

/** The server's end of a client's connection. Unlike Asio's socket, it doesn't
 * throw when the client has reset the connection: RESTinio asks for the address
 * in a function that must not throw. */
class ClientSocket : public asio::ip::tcp::socket
{
public:
  using asio::ip::tcp::socket::socket;

  // The names are Asio's.
  // NOLINTBEGIN(readability-identifier-naming)
  ClientSocket& lowest_layer() { return *this; }

  /** @return the client's address; an empty one if the connection has ended. */
  endpoint_type remote_endpoint() const noexcept
  {
    asio::error_code ignored;
    return asio::ip::tcp::socket::remote_endpoint(ignored);
  }
  // NOLINTEND(readability-identifier-naming)
};

} // namespace mulberrysail::network
