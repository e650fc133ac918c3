#include "daemon/settings/settingsreader.h"

#include <cxxopts.hpp>

#include <iostream>

namespace mulberrysail::daemon {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::string_view kVersion = "0.1.0";

int
RunWithSettings(const std::string& aPath, bool aCheckOnly)
{
  const core::Result<Settings> settings = LoadSettings(aPath);
  if (!settings) {
    std::cerr << settings.error().m_detail << "\n";
    return kExitUsage;
  }
  if (aCheckOnly) {
    return kExitOk;
  }
  return kExitFailed;
}

int
RunCommandLine(int aArgc, char** aArgv)
{
  cxxopts::Options options("mulberrysaild",
                           "An entry or an agent of mulberrysail.");
  options.add_options()(
    "settings", "the settings file", cxxopts::value<std::string>(), "FILE")(
    "check-settings", "check the settings and exit with 0 or 2")(
    "settings-page", "print docs/SETTINGS.md")("version", "print the version")(
    "help", "print this help");
  const cxxopts::ParseResult arguments = options.parse(aArgc, aArgv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("version") != 0) {
    std::cout << "mulberrysaild " << kVersion << "\n";
    return kExitOk;
  }
  if (arguments.count("settings-page") != 0) {
    std::cout << SettingsPage();
    return kExitOk;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "--settings FILE is needed; see --help\n";
    return kExitUsage;
  }
  return RunWithSettings(arguments["settings"].as<std::string>(),
                         arguments.count("check-settings") != 0);
}

} // namespace

} // namespace mulberrysail::daemon

int
main(int aArgc, char** aArgv)
{
  try {
    return mulberrysail::daemon::RunCommandLine(aArgc, aArgv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
