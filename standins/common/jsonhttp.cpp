#include "standins/common/jsonhttp.h"

#include <atomic>
#include <exception>
#include <stdexcept>
#include <utility>

namespace mulberrysail::standins {

namespace {

using network::HttpResponder;
using network::HttpResponse;

void
HandleGuarded(const LoopHandler& aHandler, LoopCall aCall)
{
  const HttpResponder responder = aCall.m_responder;
  try {
    aHandler(std::move(aCall));
  } catch (const std::exception& error) {
    responder(ErrorResponse(400, error.what()));
  }
}

std::uint64_t
NextCallId()
{
  static std::atomic<std::uint64_t> sLast{ 0 };
  return ++sLast;
}

} // namespace

network::HttpHandler
HandleOnLoop(EventLoop& aLoop, LoopHandler aHandler, GoneHandler aOnGone)
{
  return [&aLoop, handler = std::move(aHandler), onGone = std::move(aOnGone)](
           network::HttpRequest aRequest,
           HttpResponder aResponder) -> network::DisconnectHook {
    const std::uint64_t id = NextCallId();
    aLoop.Post([handler,
                call = LoopCall{
                  id, std::move(aRequest), std::move(aResponder) }]() mutable {
      HandleGuarded(handler, std::move(call));
    });
    if (!onGone) {
      return {};
    }
    return [&aLoop, onGone, id] { aLoop.Post([onGone, id] { onGone(id); }); };
  };
}

HttpResponse
JsonResponse(const nlohmann::json& aBody, int aStatus)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_body =
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse
TextResponse(std::string aBody, int aStatus)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_contentType = "text/plain";
  response.m_body = std::move(aBody);
  return response;
}

HttpResponse
ErrorResponse(int aStatus, std::string_view aDetail)
{
  return JsonResponse({ { "error", aDetail } }, aStatus);
}

nlohmann::json
ParseObject(std::string_view aBody)
{
  if (aBody.empty()) {
    return nlohmann::json::object();
  }
  nlohmann::json body = nlohmann::json::parse(aBody);
  if (!body.is_object()) {
    throw std::invalid_argument("the body must be a JSON object");
  }
  return body;
}

std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aName,
             std::int64_t aDefault)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end()) {
    return aDefault;
  }
  if (field->is_string()) {
    return std::stoll(field->get<std::string>());
  }
  return field->get<std::int64_t>();
}

std::unique_ptr<network::IHttpServer>
StartServer(const network::HttpServerOptions& aOptions,
            network::HttpHandler aHandler)
{
  core::Result<std::unique_ptr<network::IHttpServer>> server =
    network::StartHttpServer(aOptions, std::move(aHandler));
  if (!server) {
    throw std::runtime_error("can't listen on port " +
                             std::to_string(aOptions.m_port) + ": " +
                             server.error().m_detail);
  }
  return std::move(server).value();
}

} // namespace mulberrysail::standins
