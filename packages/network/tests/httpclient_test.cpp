#include "network/ihttpclient.h"

#include "network/tests/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>

namespace mulberrysail::network {

namespace {

using tests::RawServer;
using tests::RawSocket;

const std::string kHeadEnd = "\r\n\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(ReusesAConnection);
  CPPUNIT_TEST(RefusedConnectionIsNeverSent);
  CPPUNIT_TEST(ConnectionEndedAfterTheRequestIsLostAndNotSentAgain);
  CPPUNIT_TEST(ResetAfterTheRequestIsLostAndNotSentAgain);
  CPPUNIT_TEST(TimeoutAfterSendingIsLost);
  CPPUNIT_TEST(TruncatedOrUnmarkedBodyIsLost);
  CPPUNIT_TEST(OversizedBodyIsLost);
  CPPUNIT_TEST(IdleStreamIsEnded);
  CPPUNIT_TEST(ChunkHandlerEndsTheStream);
  CPPUNIT_TEST(StopEndsOpenCalls);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_server = std::make_unique<RawServer>();
    m_client = StartHttpClient({ .m_maxBodyBytes = 1000 });
  }

  void tearDown() override
  {
    m_client.reset();
    m_server.reset();
  }

  void ReusesAConnection()
  {
    std::future<HttpOutcome> first = Begin();
    RawSocket socket = m_server->Accept();
    const std::string request = socket.ReadUntil("hello");
    CPPUNIT_ASSERT(request.starts_with("POST / HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(request.find("Expect") == std::string::npos);
    socket.Send(kOk);
    const HttpOutcome outcome = first.get();
    CPPUNIT_ASSERT(outcome.m_delivery == HttpDelivery::Answered);
    CPPUNIT_ASSERT_EQUAL(200, outcome.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), outcome.m_body);

    std::future<HttpOutcome> second = Begin();
    socket.ReadUntil("hello");
    socket.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(503, second.get().m_status);
    CPPUNIT_ASSERT(!m_server->TryAccept());
  }

  void RefusedConnectionIsNeverSent()
  {
    HttpCall call = MakeCall();
    m_server.reset();
    CPPUNIT_ASSERT(Begin(call).get().m_delivery == HttpDelivery::NeverSent);
  }

  void ConnectionEndedAfterTheRequestIsLostAndNotSentAgain()
  {
    LoseConnectionOnSecondRequest([](RawSocket& aSocket) { aSocket.Close(); });
  }

  void ResetAfterTheRequestIsLostAndNotSentAgain()
  {
    LoseConnectionOnSecondRequest([](RawSocket& aSocket) { aSocket.Reset(); });
  }

  void TimeoutAfterSendingIsLost()
  {
    HttpCall call = MakeCall();
    call.m_timeout = std::chrono::milliseconds(50);
    std::future<HttpOutcome> pending = Begin(call);
    RawSocket socket = m_server->Accept();
    CPPUNIT_ASSERT(pending.get().m_delivery == HttpDelivery::Lost);
  }

  void TruncatedOrUnmarkedBodyIsLost()
  {
    for (const std::string head :
         { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
           "HTTP/1.1 200 OK\r\n\r\nok",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok" }) {
      std::future<HttpOutcome> pending = Begin();
      RawSocket socket = m_server->Accept();
      socket.ReadUntil("hello");
      socket.Send(head);
      socket.Close();
      CPPUNIT_ASSERT(pending.get().m_delivery == HttpDelivery::Lost);
    }
  }

  void OversizedBodyIsLost()
  {
    std::future<HttpOutcome> pending = Begin();
    RawSocket socket = m_server->Accept();
    socket.ReadUntil("hello");
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
                std::string(1001, 'x'));
    CPPUNIT_ASSERT(pending.get().m_delivery == HttpDelivery::Lost);
  }

  void IdleStreamIsEnded()
  {
    HttpCall call = MakeCall();
    call.m_timeout = std::chrono::milliseconds(0);
    call.m_idleTimeout = std::chrono::milliseconds(100);
    std::promise<HttpOutcome> outcome;
    m_client->Stream(
      call,
      [](std::string_view /*aChunk*/) { return true; },
      [&](HttpOutcome aOutcome) { outcome.set_value(std::move(aOutcome)); });
    RawSocket socket = m_server->Accept();
    CPPUNIT_ASSERT(outcome.get_future().get().m_delivery == HttpDelivery::Lost);
  }

  void ChunkHandlerEndsTheStream()
  {
    std::string received;
    std::promise<HttpOutcome> outcome;
    m_client->Stream(
      MakeCall(),
      [&](std::string_view aChunk) {
        received += aChunk;
        return received.size() < 4;
      },
      [&](HttpOutcome aOutcome) { outcome.set_value(std::move(aOutcome)); });
    RawSocket socket = m_server->Accept();
    socket.ReadUntil("hello");
    socket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nab\r\n2\r\ncd\r\n");
    CPPUNIT_ASSERT(outcome.get_future().get().m_delivery == HttpDelivery::Lost);
    CPPUNIT_ASSERT_EQUAL(std::string("abcd"), received);
  }

  void StopEndsOpenCalls()
  {
    std::future<HttpOutcome> open = Begin();
    RawSocket socket = m_server->Accept();
    socket.ReadUntil("hello");
    m_client->Stop();
    CPPUNIT_ASSERT(open.get().m_delivery == HttpDelivery::Lost);
    CPPUNIT_ASSERT(Begin().get().m_delivery == HttpDelivery::NeverSent);
  }

private:
  HttpCall MakeCall() const
  {
    return { .m_url = m_server->Url(), .m_headers = {}, .m_body = "hello" };
  }

  std::future<HttpOutcome> Begin() { return Begin(MakeCall()); }

  std::future<HttpOutcome> Begin(const HttpCall& aCall)
  {
    const std::shared_ptr<std::promise<HttpOutcome>> outcome =
      std::make_shared<std::promise<HttpOutcome>>();
    m_client->Call(aCall, [outcome](HttpOutcome aOutcome) {
      outcome->set_value(std::move(aOutcome));
    });
    return outcome->get_future();
  }

  /** Closes a reused connection after its second request was read, and expects
   * that the client reports the call as lost and does not resend it. */
  template<typename CloseFunction>
  void LoseConnectionOnSecondRequest(CloseFunction aClose)
  {
    std::future<HttpOutcome> first = Begin();
    RawSocket socket = m_server->Accept();
    socket.ReadUntil("hello");
    socket.Send(kOk);
    CPPUNIT_ASSERT(first.get().m_delivery == HttpDelivery::Answered);

    std::future<HttpOutcome> second = Begin();
    CPPUNIT_ASSERT(socket.ReadUntil("hello").ends_with("hello"));
    aClose(socket);
    CPPUNIT_ASSERT(second.get().m_delivery == HttpDelivery::Lost);
    // The client may have opened a connection, but sent no request on it.
    m_client->Stop();
    std::optional<RawSocket> again = m_server->TryAccept();
    CPPUNIT_ASSERT(!again || again->ReadAll().empty());
  }

  std::unique_ptr<RawServer> m_server;
  std::unique_ptr<IHttpClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace

} // namespace mulberrysail::network
