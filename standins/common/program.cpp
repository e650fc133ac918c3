#include "standins/common/program.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace mulberrysail::standins {

void
AddListenFlags(Flags& aFlags)
{
  aFlags.AddText("listen-address", "address to listen on", "127.0.0.1");
  aFlags.AddNumber("listen-port", "port to listen on, 0 for any", 0);
}

void
AddRunFlags(Flags& aFlags, std::uint32_t aAnnounceMs)
{
  aFlags.AddText("announce-url", "URL to announce in place of its own");
  aFlags.AddNumber("announce-ms", "period of announcements", aAnnounceMs);
  aFlags.AddText("journal", "file to append starts and ends to");
  aFlags.AddDecimal("speed", "factor on run times", 1.0);
}

network::HttpServerOptions
ListenOptions(const Flags& aFlags)
{
  network::HttpServerOptions options;
  options.m_address = aFlags.Text("listen-address");
  options.m_port = static_cast<std::uint16_t>(aFlags.Number("listen-port"));
  return options;
}

std::string
OwnUrl(const Flags& aFlags, std::uint16_t aPort)
{
  std::string given = aFlags.Text("announce-url");
  if (!given.empty()) {
    return given;
  }
  return "http://" + aFlags.Text("listen-address") + ":" +
         std::to_string(aPort);
}

int
RunProgram(Flags& aFlags,
           int aArgc,
           char** aArgv,
           const std::function<void(const Flags&)>& aServe)
{
  try {
    aFlags.Parse(aArgc, aArgv);
    const std::string help = aFlags.AskedHelp();
    if (!help.empty()) {
      std::cout << help;
      return EXIT_SUCCESS;
    }
    aServe(aFlags);
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}

} // namespace mulberrysail::standins
