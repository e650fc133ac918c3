#pragma once

#include "network/ihttpserver.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/** Values of the parameters of a path, in the order of the pattern. */
using PathParameters = std::span<const std::string_view>;

/** Handles the requests of one route. May respond later. */
using RouteHandler =
  std::function<network::DisconnectHook(const network::HttpRequest& aRequest,
                                        PathParameters aParameters,
                                        network::HttpResponder aResponder)>;

/** Handles the requests of one route and responds synchronously. */
using SimpleHandler =
  std::function<network::HttpResponse(const network::HttpRequest& aRequest,
                                      PathParameters aParameters)>;

/** Finds the handler of a request by its method and path. */
class Router
{
public:
  /** Adds a route.
   * @param aPattern a path in which `{}` stands for one parameter. */
  void Add(std::string aMethod,
           std::string_view aPattern,
           RouteHandler aHandler);

  void AddSimple(std::string aMethod,
                 std::string_view aPattern,
                 SimpleHandler aHandler);

  /** Calls the handler of the matching route, or responds with 404 if no
   * route has the path, or 405 if only the method differs. Thread-safe after
   * all routes were added. */
  network::DisconnectHook Handle(const network::HttpRequest& aRequest,
                                 network::HttpResponder aResponder) const;

private:
  struct Route
  {
    std::string m_method;
    std::vector<std::string> m_segments;
    RouteHandler m_handler;
  };

  std::vector<Route> m_routes;
};

} // namespace mulberrysail::daemon
