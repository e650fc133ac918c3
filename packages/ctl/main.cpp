#include "ctl/internal/arguments.h"
#include "ctl/internal/runner.h"

#include <iostream>
#include <memory>

/** mulberryctl: what operators and callers type. */
int
main(int aArgc, char** aArgv)
{
  using namespace mulberrysail;
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  const core::Result<ctl::Invocation> invocation =
    ctl::ParseArguments(arguments);
  if (!invocation) {
    std::cerr << "mulberryctl: " << invocation.error().m_detail << '\n';
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  const std::unique_ptr<network::IHttpClient> client =
    network::StartHttpClient({});
  const ctl::ExitCode exitCode =
    ctl::Run(invocation.value(), *client, std::cout, std::cerr);
  client->Stop();
  return static_cast<int>(exitCode);
}
