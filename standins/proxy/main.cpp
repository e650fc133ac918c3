#include "standins/common/jsonhttp.h"
#include "standins/common/program.h"
#include "standins/proxy/link.h"

#include <asio/ip/address.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace mulberrysail;
using asio::ip::tcp;
using standins::Flags;
using Links = std::vector<std::unique_ptr<standins::Link>>;

/** Reads IP:PORT, or PORT on @p aDefaultAddress. */
tcp::endpoint
ReadAddress(const std::string& aText, const std::string& aDefaultAddress)
{
  const std::size_t colon = aText.find(':');
  const bool portOnly = colon == std::string::npos;
  const std::string address =
    portOnly ? aDefaultAddress : aText.substr(0, colon);
  const std::string port = portOnly ? aText : aText.substr(colon + 1);
  return { asio::ip::make_address(address),
           static_cast<std::uint16_t>(std::stoul(port)) };
}

Links
MakeLinks(standins::EventLoop& aLoop, const Flags& aFlags)
{
  const std::string address = aFlags.Text("listen-address");
  const std::vector<std::string> listens = aFlags.List("listen");
  const std::vector<std::string> targets = aFlags.List("target");
  if (listens.size() != targets.size()) {
    throw std::invalid_argument("as many --listen as --target are needed");
  }
  Links links;
  for (std::size_t i = 0; i < listens.size(); ++i) {
    links.push_back(
      std::make_unique<standins::Link>(aLoop.Context(),
                                       ReadAddress(listens[i], address),
                                       ReadAddress(targets[i], address),
                                       aFlags.Number("seed") + i));
  }
  return links;
}

/** Changes the link that the field "link" names, by its place, or all. */
void
Update(const Links& aLinks, const nlohmann::json& aBody)
{
  if (aBody.contains("link")) {
    aLinks.at(aBody["link"].get<std::size_t>())->Update(aBody);
    return;
  }
  for (const std::unique_ptr<standins::Link>& link : aLinks) {
    link->Update(aBody);
  }
}

void
Handle(const Links& aLinks, const standins::LoopCall& aCall)
{
  if (aCall.m_request.m_path != "/control") {
    aCall.m_responder(standins::ErrorResponse(404, "no such call"));
    return;
  }
  if (aCall.m_request.m_method == "POST") {
    Update(aLinks, standins::ParseObject(aCall.m_request.m_body));
  }
  nlohmann::json states = nlohmann::json::array();
  for (const std::unique_ptr<standins::Link>& link : aLinks) {
    states.push_back(link->ToJson());
  }
  aCall.m_responder(standins::JsonResponse({ { "links", states } }));
}

void
Serve(const Flags& aFlags)
{
  standins::EventLoop loop;
  const Links links = MakeLinks(loop, aFlags);
  network::HttpServerOptions options;
  options.m_address = aFlags.Text("listen-address");
  options.m_port = static_cast<std::uint16_t>(aFlags.Number("control-port"));
  options.m_threads = 1;
  const std::unique_ptr<network::IHttpServer> server = standins::StartServer(
    options, standins::HandleOnLoop(loop, [&](const standins::LoopCall& aCall) {
      Handle(links, aCall);
    }));
  loop.OnTerminate([&] { loop.Quit(); });
  loop.Run();
  server->Stop();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Flags flags("standin_proxy", "A TCP proxy that injects faults, for tests.");
  flags.AddText("listen-address", "address to listen on", "127.0.0.1");
  flags.AddList("listen", "[IP:]PORT to listen on, one for each target");
  flags.AddList("target", "IP:PORT where the connections go");
  flags.AddNumber("control-port", "port of POST /control, 0 for any", 0);
  flags.AddNumber("seed", "of the jitter", 1);
  return standins::RunProgram(flags, aArgc, aArgv, Serve);
}
