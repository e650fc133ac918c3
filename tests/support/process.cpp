#include "support/process.h"

#include "support/waituntil.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>

extern char** environ; // NOLINT: named by the system

namespace mulberrysail::testsupport {

namespace {

constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0644;

/** Where the child's output goes. */
class OutputActions
{
public:
  explicit OutputActions(const std::string& aLogPath)
  {
    const char* path = aLogPath.empty() ? "/dev/null" : aLogPath.c_str();
    posix_spawn_file_actions_init(&m_actions);
    posix_spawn_file_actions_addopen(
      &m_actions, STDOUT_FILENO, path, O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
  }
  ~OutputActions() { posix_spawn_file_actions_destroy(&m_actions); }
  OutputActions(const OutputActions&) = delete;
  OutputActions& operator=(const OutputActions&) = delete;

  const posix_spawn_file_actions_t* Get() const { return &m_actions; }

private:
  posix_spawn_file_actions_t m_actions{};
};

int
ExitCode(int aStatus)
{
  return WIFSIGNALED(aStatus) ? kSignalBase + WTERMSIG(aStatus)
                              : WEXITSTATUS(aStatus);
}

} // namespace

Process::Process(const ProcessSpec& aSpec)
{
  std::vector<std::string> words = aSpec.m_arguments;
  words.insert(words.begin(), aSpec.m_program);
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const OutputActions actions(aSpec.m_logPath);
  const int error = posix_spawn(&m_pid,
                                aSpec.m_program.c_str(),
                                actions.Get(),
                                nullptr,
                                arguments.data(),
                                environ);
  if (error != 0) {
    throw std::system_error(
      error, std::generic_category(), "can't start " + aSpec.m_program);
  }
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aSignal)
{
  if (Running()) {
    kill(m_pid, aSignal);
  }
}

bool
Process::Running()
{
  if (m_exitCode) {
    return false;
  }
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return true;
  }
  m_exitCode = ExitCode(status);
  return false;
}

std::optional<int>
Process::Wait(std::chrono::milliseconds aTimeout)
{
  WaitUntil(aTimeout, [this] { return !Running(); });
  return m_exitCode;
}

void
Process::Kill()
{
  if (!Running()) {
    return;
  }
  kill(m_pid, SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_exitCode = ExitCode(status);
}

std::optional<int>
Process::Terminate(std::chrono::milliseconds aTimeout)
{
  Signal(SIGTERM);
  return Wait(aTimeout);
}

} // namespace mulberrysail::testsupport
