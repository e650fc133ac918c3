#include "core/types/eventcode.h"
#include "daemon/irole.h"
#include "daemon/settings/settingsreader.h"
#include "platform/adapter.h"

#include <cxxopts.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <string_view>

namespace mulberrysail::daemon {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kInfoLevel = static_cast<int>(LogLevel::Info);
constexpr std::string_view kVersion = "0.1.0";

/** The signals that ask for a drain. Blocked, so that only main() sees them. */
class DrainSignals
{
public:
  DrainSignals()
  {
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  }

  /** Blocks until one comes that asks for a drain.
   * @param aOnReload called for each that asks to read the settings again. */
  void Wait(const std::function<void()>& aOnReload) const
  {
    int signal = 0;
    while (sigwait(&m_signals, &signal) == 0 && signal == SIGHUP) {
      aOnReload();
    }
  }

  /** Takes one if it comes within @p aTime. */
  void Pause(std::chrono::milliseconds aTime) const
  {
    timespec time{};
    time.tv_nsec = std::chrono::nanoseconds(aTime).count();
    sigtimedwait(&m_signals, nullptr, &time);
  }

private:
  sigset_t m_signals{};
};

void
StartLog(const LogSettings& aSettings)
{
  FLAGS_minloglevel =
    std::max(0, static_cast<int>(aSettings.m_level) - kInfoLevel);
  FLAGS_v = aSettings.m_level == LogLevel::Verbose ? 1 : 0;
  FLAGS_logtostderr = aSettings.m_directory.empty();
  FLAGS_log_dir = aSettings.m_directory;
  google::InitGoogleLogging("mulberrysaild");
}

/** @return whether all work was done within the time limit. */
bool
FinishWork(IRole& aRole, const DrainSignals& aSignals, core::Duration aTimeout)
{
  constexpr std::chrono::milliseconds kCheckInterval{ 10 };
  // For the store to hear that the process leaves; it isn't waited for.
  constexpr std::chrono::milliseconds kLeaveTime{ 100 };
  const std::chrono::steady_clock::time_point start =
    std::chrono::steady_clock::now();
  while (!aRole.Drained()) {
    const bool limited = aTimeout != core::Duration::zero();
    if (limited && std::chrono::steady_clock::now() - start > aTimeout) {
      return false;
    }
    aSignals.Pause(kCheckInterval);
  }
  aRole.Leave();
  aSignals.Pause(kLeaveTime);
  return true;
}

/** Reads the settings file again. What it sets is taken at the next start;
 * this tells the operator now whether that will succeed. */
void
CheckAgain(const std::string& aPath)
{
  const core::Result<Settings> settings = LoadSettings(aPath);
  if (settings) {
    LOG(INFO) << "event=" << static_cast<int>(core::EventCode::SettingsRead)
              << " name=" << core::EventName(core::EventCode::SettingsRead)
              << " subject=0 detail=\"" << aPath << "\"";
    return;
  }
  LOG(WARNING) << "event="
               << static_cast<int>(core::EventCode::SettingsRejected)
               << " name=" << core::EventName(core::EventCode::SettingsRejected)
               << " subject=0 detail=\"" << settings.error().m_detail << "\"";
}

std::unique_ptr<IAdapter>
MakeAdapter(const Settings& aSettings)
{
  return aSettings.m_adapter.m_interface == Interface::Platform
           ? platform::MakeAdapter()
           : nullptr;
}

int
Serve(const Settings& aSettings, const std::string& aPath)
{
  // Before any thread is made, as threads inherit what is blocked.
  const DrainSignals signals;
  std::signal(SIGPIPE, SIG_IGN);
  StartLog(aSettings.m_log);
  const std::unique_ptr<IAdapter> adapter = MakeAdapter(aSettings);
  const core::Result<std::unique_ptr<IRole>> started =
    StartRole(aSettings, adapter.get());
  if (!started) {
    std::cerr << started.error().m_detail << "\n";
    return kExitFailed;
  }
  IRole& role = *started.value();
  std::cout << role.Describe() << std::endl;
  signals.Wait([&] { CheckAgain(aPath); });
  role.Drain();
  const bool finished = FinishWork(role, signals, aSettings.m_drainTimeout);
  role.Stop();
  return finished ? kExitOk : kExitFailed;
}

int
RunWithSettings(const std::string& aPath, bool aCheckOnly)
{
  const core::Result<Settings> settings = LoadSettings(aPath);
  if (!settings) {
    std::cerr << settings.error().m_detail << "\n";
    return kExitUsage;
  }
  return aCheckOnly ? kExitOk : Serve(settings.value(), aPath);
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
