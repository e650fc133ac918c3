#pragma once

#include "network/ihttpserver.h"

#include <restinio/http_headers.hpp>
#include <restinio/request_handler.hpp>

#include <optional>

namespace mulberrysail::network {

/** Converts a RESTinio request; throws if its path or query is malformed. */
HttpRequest
ReadRequest(const restinio::request_t& aRequest);

/** @return the error response to a request over a size limit, if it is. */
std::optional<HttpResponse>
CheckSizeLimits(const HttpServerOptions& aOptions,
                const restinio::request_t& aRequest);

} // namespace mulberrysail::network
