#include "standins/common/jsonhttp.h"
#include "standins/common/program.h"
#include "standins/worker/worker.h"

#include <memory>
#include <utility>

namespace {

using namespace mulberrysail;
using standins::AnnouncerOptions;
using standins::Flags;
using standins::WorkerOptions;

WorkerOptions
ReadOptions(const Flags& aFlags, std::uint16_t aPort)
{
  WorkerOptions options;
  options.m_name = aFlags.Text("name");
  options.m_rack = aFlags.Text("rack");
  options.m_cores = aFlags.Decimal("cores");
  options.m_memoryMb = aFlags.Number("memory-mb");
  options.m_accelerators = aFlags.Number("accelerators");
  options.m_ownUrl = standins::OwnUrl(aFlags, aPort);
  options.m_usageLag = aFlags.Milliseconds("usage-lag-ms");
  options.m_journalPath = aFlags.Text("journal");
  options.m_speed = aFlags.Decimal("speed");
  return options;
}

AnnouncerOptions
ReadAnnouncerOptions(const Flags& aFlags)
{
  AnnouncerOptions options;
  options.m_workerName = aFlags.Text("name");
  options.m_entryUrls = aFlags.List("entries");
  options.m_period = aFlags.Milliseconds("announce-ms");
  return options;
}

void
Serve(const Flags& aFlags)
{
  standins::EventLoop loop;
  const std::unique_ptr<network::IHttpClient> client =
    network::StartHttpClient({});
  std::unique_ptr<standins::Worker> worker;
  const std::unique_ptr<network::IHttpServer> server = standins::StartServer(
    standins::ListenOptions(aFlags),
    standins::HandleOnLoop(loop, [&](standins::LoopCall aCall) {
      worker->Handle(std::move(aCall.m_request), std::move(aCall.m_responder));
    }));
  worker =
    std::make_unique<standins::Worker>(loop,
                                       *client,
                                       ReadOptions(aFlags, server->Port()),
                                       ReadAnnouncerOptions(aFlags));
  worker->Start();
  loop.OnTerminate([&] { worker->Leave(); });
  loop.Run();
  client->Stop();
  server->Stop();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Flags flags("standin_worker", "A worker for tests.");
  standins::AddListenFlags(flags);
  standins::AddRunFlags(flags, 2000);
  flags.AddList("entries", "URLs of entries, separated by commas");
  flags.AddText("name", "its name", "worker-1");
  flags.AddText("rack", "rack that houses it", "rack-1");
  flags.AddDecimal("cores", "processor cores", 16.0);
  flags.AddNumber("memory-mb", "memory in megabytes", 32768);
  flags.AddNumber("accelerators", "accelerators", 0);
  flags.AddNumber("usage-lag-ms", "age of reported usage", 0);
  return standins::RunProgram(flags, aArgc, aArgv, Serve);
}
