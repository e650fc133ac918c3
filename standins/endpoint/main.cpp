#include "standins/common/jsonhttp.h"
#include "standins/common/program.h"
#include "standins/endpoint/endpoint.h"

#include <memory>
#include <utility>

namespace {

using namespace mulberrysail;
using standins::EndpointOptions;
using standins::Flags;

EndpointOptions
ReadOptions(const Flags& aFlags, std::uint16_t aPort)
{
  EndpointOptions options;
  options.m_agentUrl = aFlags.Text("agent");
  options.m_service = aFlags.Text("service");
  options.m_slots = aFlags.Number("slots");
  options.m_connections = aFlags.Number("connections");
  options.m_ownUrl = standins::OwnUrl(aFlags, aPort);
  options.m_announcePeriod = aFlags.Milliseconds("announce-ms");
  options.m_journalPath = aFlags.Text("journal");
  options.m_speed = aFlags.Decimal("speed");
  return options;
}

void
Serve(const Flags& aFlags)
{
  standins::EventLoop loop;
  const std::unique_ptr<network::IHttpClient> client =
    network::StartHttpClient({});
  std::unique_ptr<standins::Endpoint> endpoint;
  const std::unique_ptr<network::IHttpServer> server = standins::StartServer(
    standins::ListenOptions(aFlags),
    standins::HandleOnLoop(loop, [&](standins::LoopCall aCall) {
      endpoint->Handle(std::move(aCall.m_request),
                       std::move(aCall.m_responder));
    }));
  endpoint = std::make_unique<standins::Endpoint>(
    loop, *client, ReadOptions(aFlags, server->Port()));
  endpoint->Start();
  loop.OnTerminate([&] { endpoint->Leave(); });
  loop.Run();
  client->Stop();
  server->Stop();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Flags flags("standin_endpoint", "An endpoint for tests.");
  standins::AddListenFlags(flags);
  standins::AddRunFlags(flags, 1000);
  flags.AddText("agent", "URL of its agent");
  flags.AddText("service", "service that it offers", "photo-check");
  flags.AddNumber("slots", "runs at once", 8);
  flags.AddNumber("connections", "calls at once", 64);
  return standins::RunProgram(flags, aArgc, aArgv, Serve);
}
