#include "standins/common/jsonhttp.h"
#include "standins/common/program.h"
#include "standins/store/storegateway.h"

#include <memory>
#include <utility>

namespace {

using namespace mulberrysail;

void
Serve(const standins::Flags& aFlags)
{
  standins::EventLoop loop;
  standins::StoreGateway gateway(loop, aFlags.Milliseconds("write-ms"));
  const std::unique_ptr<network::IHttpServer> server = standins::StartServer(
    standins::ListenOptions(aFlags),
    standins::HandleOnLoop(
      loop,
      [&](standins::LoopCall aCall) { gateway.Handle(std::move(aCall)); },
      [&](std::uint64_t aCall) { gateway.Gone(aCall); }));
  gateway.Start();
  loop.OnTerminate([&] { loop.Quit(); });
  loop.Run();
  server->Stop();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  standins::Flags flags("standin_store",
                        "The platform's key-value store for tests.");
  standins::AddListenFlags(flags);
  flags.AddNumber("write-ms", "time of one synced write", 4);
  return standins::RunProgram(flags, aArgc, aArgv, Serve);
}
