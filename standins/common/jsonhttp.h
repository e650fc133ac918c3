#pragma once

#include "network/ihttpserver.h"
#include "standins/common/eventloop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrysail::standins {

/** A request on its way through the loop. */
struct LoopCall
{
  /** Unique within the process. */
  std::uint64_t m_id = 0;
  network::HttpRequest m_request;
  network::HttpResponder m_responder;
};

/** Answers a request on the loop's thread. */
using LoopHandler = std::function<void(LoopCall)>;

/** Gets the id of a call whose connection ended, on the loop's thread. */
using GoneHandler = std::function<void(std::uint64_t)>;

/** @return a handler that hands each request to @p aHandler on @p aLoop. What
 * it throws becomes status 400. */
network::HttpHandler
HandleOnLoop(EventLoop& aLoop, LoopHandler aHandler, GoneHandler aOnGone = {});

network::HttpResponse
JsonResponse(const nlohmann::json& aBody, int aStatus = 200);

network::HttpResponse
TextResponse(std::string aBody, int aStatus = 200);

network::HttpResponse
ErrorResponse(int aStatus, std::string_view aDetail);

/** @return the body as a JSON object. An empty body is an empty object.
 * @throws std::exception if it is none. */
nlohmann::json
ParseObject(std::string_view aBody);

/** @return the integer in @p aObject, written as a number or, as the gateway
 * of etcd does, as a decimal string. */
std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aName,
             std::int64_t aDefault = 0);

/** Starts a server for @p aHandler.
 * @throws std::runtime_error if the address is taken. */
std::unique_ptr<network::IHttpServer>
StartServer(const network::HttpServerOptions& aOptions,
            network::HttpHandler aHandler);

} // namespace mulberrysail::standins
