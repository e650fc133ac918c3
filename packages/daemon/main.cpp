#include "core/types/eventcode.h"
#include "daemon/irole.h"
#include "daemon/settings/settingsfile.h"
#include "daemon/settings/settingsreader.h"
#include "platform/adapter.h"
#include "telemetry/logoutput.h"

#include <cxxopts.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <optional>
#include <string_view>

namespace mulberrysail::daemon {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::string_view kVersion = "0.1.0";

/** The signals that control the process: SIGTERM, SIGINT and SIGHUP. They are
 * blocked in all threads and received only by WaitForSignal(). */
class Signals
{
public:
  Signals()
  {
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  }

  /** @return the signal received within @p aTime, or 0. */
  int WaitForSignal(std::chrono::milliseconds aTime) const
  {
    const std::chrono::seconds whole =
      std::chrono::duration_cast<std::chrono::seconds>(aTime);
    timespec time{};
    time.tv_sec = whole.count();
    time.tv_nsec = std::chrono::nanoseconds(aTime - whole).count();
    return std::max(sigtimedwait(&m_signals, nullptr, &time), 0);
  }

private:
  sigset_t m_signals{};
};

telemetry::EventLevel
MinLevelOf(const LogSettings& aSettings)
{
  switch (aSettings.m_level) {
    case LogLevel::Verbose:
      return telemetry::EventLevel::Verbose;
    case LogLevel::Info:
      return telemetry::EventLevel::Info;
    case LogLevel::Warning:
      return telemetry::EventLevel::Warning;
  }
  return telemetry::EventLevel::Info;
}

/** Serves until SIGTERM or SIGINT. Calls @p aOnReload on SIGHUP and when the
 * settings file has changed. */
void
ServeUntilSignal(const Signals& aSignals,
                 SettingsFile& aFile,
                 const std::function<void()>& aOnReload)
{
  constexpr std::chrono::milliseconds kPollInterval{ 1000 };
  while (true) {
    const int signal = aSignals.WaitForSignal(kPollInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    if (aFile.HasChanged() || signal == SIGHUP) {
      aOnReload();
    }
  }
}

/** Waits until the role is drained.
 * @param aUntil the time limit; absent for none.
 * @return whether the role was drained within the limit. */
bool
WaitUntilDrained(const IRole& aRole,
                 const Signals& aSignals,
                 std::optional<std::chrono::steady_clock::time_point> aUntil)
{
  constexpr std::chrono::milliseconds kCheckInterval{ 10 };
  while (!aRole.Drained()) {
    if (aUntil && std::chrono::steady_clock::now() > *aUntil) {
      return false;
    }
    aSignals.WaitForSignal(kCheckInterval);
  }
  return true;
}

/** Waits until the role is drained, calls IRole::Leave(), and waits for the
 * responses to requests that came meanwhile. Returns early if @p aTimeout
 * expires.
 * @param aTimeout the time limit; zero for none.
 * @return whether the role was drained within the limit. */
bool
CompleteDrain(IRole& aRole, const Signals& aSignals, core::Duration aTimeout)
{
  // How long to wait for the deregistration request to reach the store. The
  // response is not checked.
  constexpr std::chrono::milliseconds kLeaveTime{ 100 };
  std::optional<std::chrono::steady_clock::time_point> until;
  if (aTimeout != core::Duration::zero()) {
    until = std::chrono::steady_clock::now() + aTimeout;
  }
  if (!WaitUntilDrained(aRole, aSignals, until)) {
    return false;
  }
  aRole.Leave();
  aSignals.WaitForSignal(kLeaveTime);
  return WaitUntilDrained(aRole, aSignals, until);
}

/** Reads the settings file again. The log level takes effect at once, all other
 * settings at the next start. Records SettingsRead, or
 * SettingsRejected if the file is invalid. */
void
ReloadSettings(const std::string& aPath,
               telemetry::ILogOutput& aOutput,
               telemetry::IEventLog& aEvents)
{
  const core::Result<Settings> settings = LoadSettings(aPath);
  if (!settings) {
    aEvents.Record(core::EventCode::SettingsRejected,
                   core::EventDetail()
                     .Add("path", aPath)
                     .Add("why", settings.error().m_detail));
    return;
  }
  aOutput.SetMinLevel(MinLevelOf(settings.value().m_log));
  aEvents.Record(core::EventCode::SettingsRead,
                 core::EventDetail()
                   .Add("path", aPath)
                   .Add("in_force", "log.level")
                   .Add("at_next_start", "all other settings"));
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
  // The signals must be blocked before the first thread starts, as threads
  // inherit the signal mask.
  const Signals signals;
  std::signal(SIGPIPE, SIG_IGN);
  SettingsFile file(aPath);
  const std::unique_ptr<telemetry::ILogOutput> output =
    telemetry::MakeLogOutput(STDOUT_FILENO, MinLevelOf(aSettings.m_log));
  const std::unique_ptr<IAdapter> adapter = MakeAdapter(aSettings);
  const core::Result<std::unique_ptr<IRole>> started =
    StartRole(aSettings, adapter.get(), *output);
  if (!started) {
    std::cerr << started.error().m_detail << "\n";
    return kExitFailed;
  }
  IRole& role = *started.value();
  ServeUntilSignal(
    signals, file, [&] { ReloadSettings(aPath, *output, role.Events()); });
  role.Drain();
  const bool finished = CompleteDrain(role, signals, aSettings.m_drainTimeout);
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
    std::cerr << "--settings FILE is required; see --help\n";
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
