#include "network/ihttpserver.h"

#include "network/errorresponse.h"
#include "network/internal/connectionregistry.h"
#include "network/internal/delayedcalls.h"
#include "network/internal/httprequestreader.h"
#include "network/internal/servertraits.h"

#include <restinio/http_server.hpp>

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace mulberrysail::network {

namespace {

/** Requests of one connection that are read before the first is answered. Must
 * be at least two: otherwise the server does not read, and so does not detect
 * the end of the connection, while a request is open. */
constexpr std::size_t kMaxPipelined = 16;
constexpr std::size_t kMaxHeaderFields = 128;
/** Time within which a client must read one part of a response. */
constexpr std::chrono::seconds kWriteTimeout{ 30 };
/** Effectively unlimited: requests end by their own deadlines. */
constexpr std::chrono::hours kHandlingTimeout{ 24 * 365 };
/** Interval at which a closing server checks for connections that are not
 * accepted yet, and the time after which it closes its listener in any case. */
constexpr std::chrono::milliseconds kAcceptQueueInterval{ 1 };
constexpr std::chrono::milliseconds kMaxAcceptQueueWait{ 500 };
/** Longest interval between two checks of the connection timeouts. */
constexpr std::chrono::milliseconds kMaxTimerPeriod{ 1000 };

using Server = restinio::http_server_t<ServerTraits>;

/** State shared with responders and streams, which may outlive the server. */
struct ServerContext
{
  explicit ServerContext(std::chrono::milliseconds aSettleTime)
    : m_settling(m_ioContext, aSettleTime)
  {
  }

  asio::io_context m_ioContext;
  DelayedCalls m_settling;
  std::shared_ptr<ConnectionRegistry> m_registry;
  /** Number of responses given but not yet written. Shared with the write
   * operations, which the I/O context owns. */
  std::shared_ptr<std::atomic<std::size_t>> m_unwrittenResponses =
    std::make_shared<std::atomic<std::size_t>>(0);
  /** Number of requests that were read and wait to be handled. */
  std::atomic<std::size_t> m_unhandledRequests{ 0 };
};

using ContextPtr = std::shared_ptr<ServerContext>;

RequestId
RequestIdOf(const restinio::request_t& aRequest)
{
  return { aRequest.connection_id(), aRequest.request_id() };
}

restinio::http_status_line_t
StatusLine(int aStatus)
{
  return { restinio::http_status_code_t{ static_cast<std::uint16_t>(aStatus) },
           aStatus < 400 ? "OK" : "Error" };
}

template<typename Output>
restinio::response_builder_t<Output>
BuildHead(restinio::request_t& aRequest, const HttpResponse& aResponse)
{
  restinio::response_builder_t<Output> builder =
    aRequest.create_response<Output>(StatusLine(aResponse.m_status));
  builder.append_header(restinio::http_field::content_type,
                        aResponse.m_contentType);
  for (const auto& [name, value] : aResponse.m_headers) {
    builder.append_header(name, value);
  }
  return builder;
}

class ResponseStream : public IHttpStream
{
public:
  using Builder = restinio::response_builder_t<restinio::chunked_output_t>;

  ResponseStream(ContextPtr aContext, RequestId aId, Builder aBuilder)
    : m_context(std::move(aContext))
    , m_id(aId)
    , m_builder(std::move(aBuilder))
  {
  }

  ResponseStream(const ResponseStream&) = delete;
  ResponseStream& operator=(const ResponseStream&) = delete;

  ~ResponseStream() override { Close(); }

  void Begin(std::string aFirst)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_builder.append_chunk(std::move(aFirst));
    m_builder.flush();
  }

  bool Write(std::string aPart) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_closed || !m_context->m_registry->IsOpen(m_id)) {
      return false;
    }
    m_builder.append_chunk(std::move(aPart));
    m_builder.flush();
    return true;
  }

  void Close() override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_closed) {
      return;
    }
    m_closed = true;
    m_context->m_registry->EndRequest(m_id);
    m_builder.done();
  }

private:
  /** Declared first, so that the connection in the builder is destroyed before
   * the context. */
  ContextPtr m_context;
  RequestId m_id;
  std::mutex m_mutex;
  bool m_closed = false;
  Builder m_builder;
};

/** Sends the response to one request; calls after the first have no effect. */
class Responder
{
public:
  Responder(ContextPtr aContext, restinio::request_handle_t aRequest)
    : m_context(std::move(aContext))
    , m_request(std::move(aRequest))
  {
  }

  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  ~Responder()
  {
    if (!m_answered) {
      Respond(
        MakeErrorResponse(core::ErrorKind::Internal,
                          { .m_detail = "the request was not answered" }));
    }
  }

  void Respond(HttpResponse aResponse)
  {
    if (m_answered.exchange(true)) {
      return;
    }
    // On an exception the client only sees a closed connection.
    try {
      if (aResponse.m_onStream) {
        BeginStream(std::move(aResponse));
      } else {
        SendResponse(std::move(aResponse));
      }
    } catch (const std::exception&) {
      m_context->m_registry->EndRequest(RequestIdOf(*m_request));
    }
  }

private:
  void SendResponse(HttpResponse aResponse)
  {
    const bool close =
      m_context->m_registry->EndRequest(RequestIdOf(*m_request));
    restinio::response_builder_t<restinio::restinio_controlled_output_t>
      builder = BuildHead<restinio::restinio_controlled_output_t>(*m_request,
                                                                  aResponse);
    if (m_request->header().method() != restinio::http_method_head()) {
      builder.set_body(std::move(aResponse.m_body));
    }
    if (close) {
      builder.connection_close();
    }
    ++*m_context->m_unwrittenResponses;
    builder.done([unwritten = m_context->m_unwrittenResponses](
                   const asio::error_code&) { --*unwritten; });
  }

  void BeginStream(HttpResponse aResponse)
  {
    const std::shared_ptr<ResponseStream> stream =
      std::make_shared<ResponseStream>(
        m_context,
        RequestIdOf(*m_request),
        BuildHead<restinio::chunked_output_t>(*m_request, aResponse));
    stream->Begin(std::move(aResponse.m_body));
    aResponse.m_onStream(stream);
  }

  /** Declared first, so that the connection in the request is destroyed before
   * the context. */
  ContextPtr m_context;
  restinio::request_handle_t m_request;
  std::atomic<bool> m_answered{ false };
};

void
HandleRequest(const HttpServerOptions& aOptions,
              const HttpHandler& aHandler,
              const ContextPtr& aContext,
              const restinio::request_handle_t& aRequest,
              std::chrono::steady_clock::time_point aReadAt)
{
  const std::shared_ptr<Responder> responder =
    std::make_shared<Responder>(aContext, aRequest);
  std::optional<HttpResponse> sizeError = CheckSizeLimits(aOptions, *aRequest);
  if (sizeError) {
    responder->Respond(std::move(*sizeError));
    return;
  }
  HttpRequest request;
  try {
    request = ReadRequest(*aRequest);
    request.m_readAt = aReadAt;
  } catch (const std::exception& error) {
    responder->Respond(MakeErrorResponse(core::ErrorKind::MalformedRequest,
                                         { .m_detail = error.what() }));
    return;
  }
  try {
    DisconnectHook hook =
      aHandler(std::move(request), [responder](HttpResponse aResponse) {
        responder->Respond(std::move(aResponse));
      });
    aContext->m_registry->SetHook(RequestIdOf(*aRequest), std::move(hook));
  } catch (const std::exception& error) {
    responder->Respond(MakeErrorResponse(core::ErrorKind::Internal,
                                         { .m_detail = error.what() }));
  }
}

/** Handles a request unless its client had left before it was read, or leaves
 * within the settle time. Several server threads can't tell: one reads while
 * another handles. */
void
HandleUnlessGone(const HttpServerOptions& aOptions,
                 const HttpHandler& aHandler,
                 const ContextPtr& aContext,
                 const restinio::request_handle_t& aRequest)
{
  const std::chrono::steady_clock::time_point readAt =
    std::chrono::steady_clock::now();
  if (aOptions.m_threads > 1) {
    HandleRequest(aOptions, aHandler, aContext, aRequest, readAt);
    return;
  }
  // Weak, to avoid a reference cycle: the context owns what is posted to it.
  const std::weak_ptr<ServerContext> weakContext = aContext;
  const auto handle = [=] {
    const ContextPtr context = weakContext.lock();
    if (!context) {
      return;
    }
    if (context->m_registry->IsOpen(RequestIdOf(*aRequest))) {
      HandleRequest(aOptions, aHandler, context, aRequest, readAt);
    }
    --context->m_unhandledRequests;
  };
  ++aContext->m_unhandledRequests;
  if (aOptions.m_settleTime > std::chrono::milliseconds::zero()) {
    aContext->m_settling.Add(handle);
    return;
  }
  // RESTinio starts its next read when the caller of this function returns. The
  // result is queued behind the first function that is posted here.
  asio::post(aContext->m_ioContext, [=] {
    if (const ContextPtr context = weakContext.lock()) {
      asio::post(context->m_ioContext, handle);
    }
  });
}

class HttpServer : public IHttpServer
{
public:
  HttpServer(const HttpServerOptions& aOptions, HttpHandler aHandler)
    : m_options(aOptions)
    , m_handler(std::move(aHandler))
  {
    m_context->m_registry =
      std::make_shared<ConnectionRegistry>(m_options.m_maxConnections);
  }

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  ~HttpServer() override { Stop(); }

  /** Listens and starts the threads; throws if the address cannot be bound. */
  void Start()
  {
    m_server.emplace(restinio::external_io_context(m_context->m_ioContext),
                     MakeSettings());
    m_server->open_sync();
    if (m_options.m_onReadCheck) {
      ScheduleReadCheck();
    }
    for (std::uint32_t i = 0; i < std::max(1U, m_options.m_threads); ++i) {
      m_threads.emplace_back([this] { m_context->m_ioContext.run(); });
    }
  }

  std::uint16_t Port() const override { return m_port; }

  void EndKeepAlive() override { m_context->m_registry->Drain(); }

  void CloseConnections(std::uint32_t aPercent) override
  {
    m_context->m_registry->CloseShare(aPercent);
  }

  void StopAccepting() override
  {
    m_context->m_registry->Drain();
    if (!m_stopped && !m_closing.exchange(true)) {
      CloseListenerAfterAccepting(std::chrono::steady_clock::now() +
                                  kMaxAcceptQueueWait);
    }
  }

  std::size_t UnwrittenResponses() const override
  {
    return *m_context->m_unwrittenResponses;
  }

  std::size_t UnhandledRequests() const override
  {
    return m_context->m_unhandledRequests;
  }

  void Stop() override
  {
    if (m_stopped.exchange(true)) {
      return;
    }
    m_context->m_ioContext.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_context->m_registry->Clear();
  }

private:
  void ScheduleReadCheck()
  {
    m_readCheckTimer.expires_after(kReadCheckInterval);
    m_readCheckTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        m_options.m_onReadCheck();
        ScheduleReadCheck();
      }
    });
  }

  /** Closes the listener once all connections in the kernel's accept queue have
   * been accepted: closing it earlier would reset them.
   * @param aUntil when to close the listener in any case. */
  void CloseListenerAfterAccepting(std::chrono::steady_clock::time_point aUntil)
  {
    pollfd listener{ m_listener, POLLIN, 0 };
    if (poll(&listener, 1, 0) <= 0 ||
        std::chrono::steady_clock::now() >= aUntil) {
      m_server->close_async([] {}, [](const std::exception_ptr& /*aError*/) {});
      return;
    }
    m_acceptQueueTimer.expires_after(kAcceptQueueInterval);
    m_acceptQueueTimer.async_wait([this, aUntil](const asio::error_code&) {
      CloseListenerAfterAccepting(aUntil);
    });
  }

  restinio::server_settings_t<ServerTraits> MakeSettings()
  {
    const std::size_t maxHead = 2UL * m_options.m_maxHeaderBytes;
    restinio::server_settings_t<ServerTraits> settings(m_options.m_port);
    settings.address(m_options.m_address)
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        m_port = aAcceptor.local_endpoint().port();
        m_listener = aAcceptor.native_handle();
      })
      .timer_manager(std::min<std::chrono::steady_clock::duration>(
        kMaxTimerPeriod, m_options.m_readTimeout))
      .read_next_http_message_timelimit(m_options.m_readTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .handle_request_timeout(kHandlingTimeout)
      .max_pipelined_requests(kMaxPipelined)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                  .max_url_size(maxHead)
                                  .max_field_name_size(maxHead)
                                  .max_field_value_size(maxHead)
                                  .max_field_count(kMaxHeaderFields)
                                  .max_body_size(2 * m_options.m_maxBodyBytes))
      .socket_options_setter([](restinio::socket_options_t& aOptions) {
        aOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .connection_state_listener(
        std::make_shared<ConnectionStateListener>(m_context->m_registry))
      .ip_blocker(std::make_shared<ConnectionLimiter>(m_context->m_registry))
      .request_handler(
        // Weak, to avoid a reference cycle: the connections own the handler,
        // and the context owns the connections.
        [options = m_options,
         handler = m_handler,
         weakContext = std::weak_ptr<ServerContext>(m_context)](
          const restinio::request_handle_t& aRequest) {
          const ContextPtr context = weakContext.lock();
          if (aRequest->header().connection() ==
              restinio::http_connection_header_t::upgrade) {
            return restinio::request_rejected();
          }
          if (context &&
              context->m_registry->BeginRequest(RequestIdOf(*aRequest))) {
            HandleUnlessGone(options, handler, context, aRequest);
          }
          return restinio::request_accepted();
        });
    return settings;
  }

  const HttpServerOptions m_options;
  const HttpHandler m_handler;
  const ContextPtr m_context =
    std::make_shared<ServerContext>(m_options.m_settleTime);
  std::optional<Server> m_server;
  std::uint16_t m_port = 0;
  /** The listener's file descriptor. */
  int m_listener = -1;
  asio::steady_timer m_acceptQueueTimer{ m_context->m_ioContext };
  asio::steady_timer m_readCheckTimer{ m_context->m_ioContext };
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_closing{ false };
  std::atomic<bool> m_stopped{ false };
};

} // namespace

core::Result<std::unique_ptr<IHttpServer>>
StartHttpServer(const HttpServerOptions& aOptions, HttpHandler aHandler)
{
  try {
    std::unique_ptr<HttpServer> server =
      std::make_unique<HttpServer>(aOptions, std::move(aHandler));
    server->Start();
    return std::unique_ptr<IHttpServer>(std::move(server));
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      aOptions.m_address + ":" +
                        std::to_string(aOptions.m_port) + ": " + error.what());
  }
}

} // namespace mulberrysail::network
