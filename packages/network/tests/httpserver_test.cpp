#include "network/ihttpserver.h"

#include "network/tests/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mulberrysail::network {

namespace {

using tests::Connect;
using tests::RawSocket;

const std::string kHeadEnd = "\r\n\r\n";

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/** A request that the server passed to the handler. */
struct Received
{
  HttpRequest m_request;
  HttpResponder m_responder;
};

class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(ReadsARequest);
  CPPUNIT_TEST(PipelinedResponsesKeepTheirOrder);
  CPPUNIT_TEST(DroppedResponderGivesInternalError);
  CPPUNIT_TEST(ThrowingHandlerGivesInternalError);
  CPPUNIT_TEST(OversizedRequestsAreRefused);
  CPPUNIT_TEST(DisconnectCallsTheHookOnce);
  CPPUNIT_TEST(ResponseDropsTheHook);
  CPPUNIT_TEST(RequestOfAClientThatHasLeftIsNotHandled);
  CPPUNIT_TEST(RequestThatIsFollowedByAResetIsNotHandled);
  CPPUNIT_TEST(RequestThatWaitsToBeHandledIsCounted);
  CPPUNIT_TEST(SlowClientIsDisconnected);
  CPPUNIT_TEST(StreamsParts);
  CPPUNIT_TEST(StreamEndsWithItsConnection);
  CPPUNIT_TEST(ThousandsOfSlowConnectionsBlockNoRequest);
  CPPUNIT_TEST(ConnectionsOverTheLimitAreClosed);
  CPPUNIT_TEST(StopAcceptingFinishesOpenRequests);
  CPPUNIT_TEST(ClosedShareAnswersItsOpenRequests);
  CPPUNIT_TEST(StopAcceptingServesTheAcceptQueue);
  CPPUNIT_TEST(ResponseIsUnwrittenUntilItIsRead);
  CPPUNIT_TEST(ResponderOutlivesTheServer);
  CPPUNIT_TEST(PortInUseIsAnError);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_disconnected = std::promise<void>();
    m_received = std::promise<Received>();
    m_hookCalls = 0;
  }

  void tearDown() override { m_server.reset(); }

  void ReadsARequest()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send("POST /a%20b+c?x=1&y=two HTTP/1.1\r\nHost: a\r\nX-Run: 7\r\n"
                "X-Run: 8\r\nContent-Length: 2\r\n\r\nhi");
    Received received = m_received.get_future().get();
    const HttpRequest& request = received.m_request;
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.m_method);
    CPPUNIT_ASSERT_EQUAL(std::string("/a b+c"), request.m_path);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), request.m_query.at("y"));
    CPPUNIT_ASSERT_EQUAL(std::string("7, 8"), request.m_headers.at("x-run"));
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), request.m_body);
    received.m_responder(
      { .m_status = 202, .m_headers = { { "X-A", "b" } }, .m_body = "{}" });
    const std::string response = socket.ReadUntil("{}");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 202 "));
    CPPUNIT_ASSERT(response.find("X-A: b\r\n") != std::string::npos);
    CPPUNIT_ASSERT(response.find("application/json") != std::string::npos);
  }

  void PipelinedResponsesKeepTheirOrder()
  {
    std::vector<HttpResponder> held;
    Start([&](const HttpRequest& aRequest, const HttpResponder& aResponder) {
      held.push_back(aResponder);
      if (aRequest.m_path == "/3") {
        for (std::size_t i = held.size(); i > 0; --i) {
          held[i - 1]({ .m_headers = {}, .m_body = std::to_string(i) });
        }
        held.clear();
      }
      return DisconnectHook();
    });
    RawSocket socket = Open();
    socket.Send(Get("/1") + Get("/2") + Get("/3"));
    for (const std::string number : { "1", "2", "3" }) {
      CPPUNIT_ASSERT(
        socket.ReadUntil(kHeadEnd + number).ends_with(kHeadEnd + number));
    }
  }

  void DroppedResponderGivesInternalError()
  {
    Start([](const HttpRequest& /*aRequest*/,
             const HttpResponder& /*aResponder*/) { return DisconnectHook(); });
    ExpectInternal();
  }

  void ThrowingHandlerGivesInternalError()
  {
    Start([](const HttpRequest& /*aRequest*/,
             const HttpResponder& /*aResponder*/) -> DisconnectHook {
      throw std::runtime_error("a fault");
    });
    ExpectInternal();
  }

  void OversizedRequestsAreRefused()
  {
    m_options.m_maxBodyBytes = 10;
    m_options.m_maxHeaderBytes = 200;
    StartCapturing();
    RawSocket socket = Open();
    socket.Send("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890");
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 413 "));
    CPPUNIT_ASSERT(socket.ReadUntil("}}").find("\"body-too-large\"") !=
                   std::string::npos);
    socket.Send("GET / HTTP/1.1\r\nX-A: " + std::string(200, 'x') + kHeadEnd);
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 431 "));
    socket.ReadUntil("}}");
    socket.Send("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n");
    CPPUNIT_ASSERT(socket.ReadAll().empty());
  }

  void DisconnectCallsTheHookOnce()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    socket.Close();
    m_disconnected.get_future().get();
    received.m_responder({});
    m_server.reset();
    CPPUNIT_ASSERT_EQUAL(1, m_hookCalls.load());
  }

  void ResponseDropsTheHook()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    received.m_responder({});
    socket.ReadUntil(kHeadEnd);
    socket.Close();
    m_server.reset();
    CPPUNIT_ASSERT_EQUAL(0, m_hookCalls.load());
  }

  void RequestOfAClientThatHasLeftIsNotHandled()
  {
    std::promise<void> blocked;
    std::promise<void> release;
    std::vector<std::string> handled;
    m_options.m_threads = 1;
    Start([&](const HttpRequest& aRequest, const HttpResponder& aResponder) {
      if (aRequest.m_path == "/block") {
        blocked.set_value();
        release.get_future().wait();
      } else {
        handled.push_back(aRequest.m_path);
      }
      aResponder({});
      return DisconnectHook();
    });
    RawSocket accepted = Open();
    accepted.Send(Get("/first"));
    CPPUNIT_ASSERT(accepted.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    RawSocket blocking = Open();
    blocking.Send(Get("/block"));
    blocked.get_future().wait();
    accepted.Send(Get("/accepted"));
    accepted.EndSending();
    RawSocket queued = Open();
    queued.Send(Get("/queued"));
    queued.EndSending();
    RawSocket staying = Open();
    staying.Send(Get("/staying"));
    release.set_value();
    CPPUNIT_ASSERT(staying.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    m_server->Stop();
    const std::vector<std::string> expected{ "/first", "/staying" };
    CPPUNIT_ASSERT(handled == expected);
  }

  void RequestThatIsFollowedByAResetIsNotHandled()
  {
    m_options.m_threads = 1;
    m_options.m_settleTime = std::chrono::milliseconds(500);
    std::vector<std::string> handled;
    Start([&](const HttpRequest& aRequest, const HttpResponder& aResponder) {
      handled.push_back(aRequest.m_path);
      aResponder({});
      return DisconnectHook();
    });
    const auto sentAt = std::chrono::steady_clock::now();
    RawSocket reset = Open();
    reset.Send(Get("/reset"));
    RawSocket staying = Open();
    staying.Send(Get("/1") + Get("/2"));
    reset.Reset();
    CPPUNIT_ASSERT(staying.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(staying.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt >=
                   m_options.m_settleTime);
    m_server->Stop();
    const std::vector<std::string> expected{ "/1", "/2" };
    CPPUNIT_ASSERT(handled == expected);
  }

  /** A process that ends meanwhile would drop the request unanswered. */
  void RequestThatWaitsToBeHandledIsCounted()
  {
    m_options.m_threads = 1;
    m_options.m_settleTime = std::chrono::milliseconds(200);
    Start([](const HttpRequest& /*aRequest*/, const HttpResponder& aResponder) {
      aResponder({});
      return DisconnectHook();
    });
    RawSocket socket = Open();
    socket.Send(Get("/"));
    while (m_server->UnhandledRequests() != 1) {
      std::this_thread::yield();
    }
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    while (m_server->UnhandledRequests() != 0) {
      std::this_thread::yield();
    }
  }

  void ClosedShareAnswersItsOpenRequests()
  {
    StartCapturing();
    RawSocket idle = Open();
    RawSocket busy = Open();
    busy.Send(Get("/"));
    const Received received = m_received.get_future().get();
    m_server->CloseConnections(50);
    received.m_responder({});
    const std::string response = busy.ReadAll();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(response.find("Connection: close") != std::string::npos);
    m_received = std::promise<Received>();
    idle.Send(Get("/"));
    m_received.get_future().get().m_responder({});
    CPPUNIT_ASSERT(idle.ReadUntil(kHeadEnd).find("Connection: close") ==
                   std::string::npos);
  }

  void SlowClientIsDisconnected()
  {
    m_options.m_readTimeout = std::chrono::milliseconds(50);
    StartCapturing();
    RawSocket socket = Open();
    socket.Send("GET / HTTP/1.1\r\n");
    CPPUNIT_ASSERT(socket.ReadAll().empty());
  }

  void StreamsParts()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    const std::shared_ptr<IHttpStream> stream = BeginStream(received, "one");
    CPPUNIT_ASSERT(socket.ReadUntil("one").ends_with("\r\n\r\n3\r\none"));
    CPPUNIT_ASSERT(stream->Write("two"));
    CPPUNIT_ASSERT_EQUAL(std::string("\r\n3\r\ntwo"), socket.ReadUntil("two"));
    stream->Close();
    CPPUNIT_ASSERT(!stream->Write("three"));
    CPPUNIT_ASSERT_EQUAL(std::string("\r\n0\r\n\r\n"),
                         socket.ReadUntil("0\r\n\r\n"));
  }

  void StreamEndsWithItsConnection()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    const std::shared_ptr<IHttpStream> stream = BeginStream(received, "");
    socket.ReadUntil(kHeadEnd);
    socket.Close();
    m_disconnected.get_future().get();
    CPPUNIT_ASSERT(!stream->Write("more"));
  }

  void ThousandsOfSlowConnectionsBlockNoRequest()
  {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    // Both ends of each connection count as open files of this process.
    const rlim_t slowCount = std::min<rlim_t>(3000, limit.rlim_cur / 4);
    StartCapturing();
    std::vector<RawSocket> slow;
    for (rlim_t i = 0; i < slowCount; ++i) {
      slow.push_back(Open());
      slow.back().Send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nslow");
    }
    RawSocket socket = Open();
    socket.Send(Get("/"));
    m_received.get_future().get().m_responder({});
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
  }

  void ConnectionsOverTheLimitAreClosed()
  {
    m_options.m_maxConnections = 1;
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    RawSocket denied = Open();
    CPPUNIT_ASSERT(denied.ReadAll().empty());
    received.m_responder({});
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
  }

  void StopAcceptingFinishesOpenRequests()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    m_server->StopAccepting();
    received.m_responder({ .m_headers = {}, .m_body = "last" });
    const std::string response = socket.ReadAll();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(response.ends_with("last"));
    CPPUNIT_ASSERT_THROW(Open(), asio::system_error);
  }

  void ResponseIsUnwrittenUntilItIsRead()
  {
    // More than the socket buffers of a connection hold.
    constexpr std::size_t kSize = 64UL << 20U;
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_server->UnwrittenResponses());
    received.m_responder(
      { .m_headers = {}, .m_body = std::string(kSize, 'a') });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_server->UnwrittenResponses());
    m_server->StopAccepting();
    CPPUNIT_ASSERT(socket.ReadAll().size() > kSize);
    while (m_server->UnwrittenResponses() != 0) {
      std::this_thread::yield();
    }
  }

  /** A listener that is closed while connections wait in the kernel's accept
   * queue resets them, and their clients cannot tell whether they were heard.
   */
  void StopAcceptingServesTheAcceptQueue()
  {
    constexpr std::size_t kQueued = 5;
    m_options.m_threads = 1;
    std::promise<void> blocked;
    std::promise<void> release;
    Start([&](const HttpRequest& aRequest, const HttpResponder& aResponder) {
      if (aRequest.m_path == "/block") {
        blocked.set_value();
        release.get_future().wait();
      }
      aResponder({});
      return DisconnectHook();
    });
    RawSocket blocking = Open();
    blocking.Send(Get("/block"));
    blocked.get_future().wait();
    std::vector<RawSocket> queued;
    for (std::size_t i = 0; i < kQueued; ++i) {
      queued.push_back(Open());
      queued.back().Send(Get("/"));
    }
    m_server->StopAccepting();
    release.set_value();
    for (RawSocket& socket : queued) {
      CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 200 "));
    }
  }

  void ResponderOutlivesTheServer()
  {
    StartCapturing();
    RawSocket socket = Open();
    socket.Send(Get("/"));
    const Received received = m_received.get_future().get();
    m_server->Stop();
    m_server.reset();
    received.m_responder({});
    CPPUNIT_ASSERT_EQUAL(0, m_hookCalls.load());
  }

  void PortInUseIsAnError()
  {
    StartCapturing();
    m_options.m_port = m_server->Port();
    const core::Result<std::unique_ptr<IHttpServer>> second =
      StartHttpServer(m_options, {});
    CPPUNIT_ASSERT(second.has_error());
    CPPUNIT_ASSERT(second.error().m_kind == core::ErrorKind::InvalidSettings);
  }

private:
  void Start(HttpHandler aHandler)
  {
    m_server = StartHttpServer(m_options, std::move(aHandler)).value();
  }

  /** Starts a server that passes its first request to the test. */
  void StartCapturing()
  {
    Start([this](HttpRequest aRequest, HttpResponder aResponder) {
      m_received.set_value({ std::move(aRequest), std::move(aResponder) });
      return DisconnectHook([this] {
        ++m_hookCalls;
        m_disconnected.set_value();
      });
    });
  }

  RawSocket Open() { return Connect(m_context, m_server->Port()); }

  void ExpectInternal()
  {
    RawSocket socket = Open();
    socket.Send(Get("/"));
    CPPUNIT_ASSERT(socket.ReadUntil(kHeadEnd).starts_with("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(socket.ReadUntil("}}").find("\"internal\"") !=
                   std::string::npos);
  }

  static std::shared_ptr<IHttpStream> BeginStream(const Received& aReceived,
                                                  const std::string& aFirst)
  {
    std::shared_ptr<IHttpStream> stream;
    aReceived.m_responder(
      { .m_headers = {},
        .m_body = aFirst,
        .m_onStream = [&](std::shared_ptr<IHttpStream> aStream) {
          stream = std::move(aStream);
        } });
    return stream;
  }

  asio::io_context m_context;
  HttpServerOptions m_options;
  std::promise<Received> m_received;
  std::promise<void> m_disconnected;
  std::atomic<int> m_hookCalls{ 0 };
  std::unique_ptr<IHttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace

} // namespace mulberrysail::network
