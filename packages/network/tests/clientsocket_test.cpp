#include "network/internal/clientsocket.h"

#include "network/tests/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

namespace mulberrysail::network {

namespace {

using tests::Connect;
using tests::RawSocket;

/** The server's end of a client's connection. */
class ClientSocketTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientSocketTest);
  CPPUNIT_TEST(AddressOfAClientThatHasResetIsNoException);
  CPPUNIT_TEST_SUITE_END();

public:
  void AddressOfAClientThatHasResetIsNoException()
  {
    asio::ip::tcp::acceptor acceptor(
      m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    RawSocket client = Connect(m_context, acceptor.local_endpoint().port());
    ClientSocket socket(m_context);
    acceptor.accept(socket.lowest_layer());
    CPPUNIT_ASSERT(socket.lowest_layer().remote_endpoint().port() != 0);
    client.Reset();
    socket.wait(asio::socket_base::wait_read);
    CPPUNIT_ASSERT_EQUAL(
      std::uint16_t{ 0 },
      std::uint16_t{ socket.lowest_layer().remote_endpoint().port() });
  }

private:
  asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientSocketTest);

} // namespace

} // namespace mulberrysail::network
