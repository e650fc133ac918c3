#include "daemon/internal/router.h"

#include "network/errorresponse.h"

#include <optional>
#include <utility>

namespace mulberrysail::daemon {

namespace {

constexpr std::string_view kParameter = "{}";

std::vector<std::string_view>
SplitPath(std::string_view aPath)
{
  std::vector<std::string_view> segments;
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    const std::size_t slash = std::min(aPath.find('/'), aPath.size());
    segments.push_back(aPath.substr(0, slash));
    aPath.remove_prefix(slash);
  }
  return segments;
}

/** @return the parameters, or nothing if the path does not match. */
std::optional<std::vector<std::string_view>>
Match(const std::vector<std::string>& aPattern,
      const std::vector<std::string_view>& aPath)
{
  if (aPattern.size() != aPath.size()) {
    return std::nullopt;
  }
  std::vector<std::string_view> parameters;
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    if (aPattern[i] == kParameter && !aPath[i].empty()) {
      parameters.push_back(aPath[i]);
    } else if (aPattern[i] != aPath[i]) {
      return std::nullopt;
    }
  }
  return parameters;
}

} // namespace

void
Router::Add(std::string aMethod,
            std::string_view aPattern,
            RouteHandler aHandler)
{
  const std::vector<std::string_view> segments = SplitPath(aPattern);
  m_routes.push_back({ std::move(aMethod),
                       { segments.begin(), segments.end() },
                       std::move(aHandler) });
}

void
Router::AddSimple(std::string aMethod,
                  std::string_view aPattern,
                  SimpleHandler aHandler)
{
  Add(std::move(aMethod),
      aPattern,
      [handler = std::move(aHandler)](
        const network::HttpRequest& aRequest,
        PathParameters aParameters,
        const network::HttpResponder& aResponder) -> network::DisconnectHook {
        aResponder(handler(aRequest, aParameters));
        return {};
      });
}

network::DisconnectHook
Router::Handle(const network::HttpRequest& aRequest,
               network::HttpResponder aResponder) const
{
  const std::vector<std::string_view> path = SplitPath(aRequest.m_path);
  bool pathKnown = false;
  for (const Route& route : m_routes) {
    const std::optional<std::vector<std::string_view>> parameters =
      Match(route.m_segments, path);
    if (!parameters) {
      continue;
    }
    pathKnown = true;
    if (route.m_method == aRequest.m_method) {
      return route.m_handler(aRequest, *parameters, std::move(aResponder));
    }
  }
  const core::ErrorKind kind =
    pathKnown ? core::ErrorKind::MethodNotAllowed : core::ErrorKind::NotFound;
  aResponder(network::MakeErrorResponse(
    kind, { aRequest.m_path, std::nullopt, std::nullopt }));
  return {};
}

} // namespace mulberrysail::daemon
