#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

/** What to start. */
struct ProcessSpec
{
  std::string m_program;
  std::vector<std::string> m_arguments;
  /** Standard output and error are appended there; discarded if empty. */
  std::string m_logPath;
};

/** One child process. Killed at the latest when this is destroyed. */
class Process
{
public:
  /** Starts it. @throws std::system_error if that fails. */
  explicit Process(const ProcessSpec& aSpec);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return m_pid; }

  /** Sends a signal, unless the process has ended. */
  void Signal(int aSignal);

  /** @return whether it has not ended. */
  bool Running();

  /** Waits until it ends.
   * @return its exit code, 128 plus the signal that ended it, or nothing if it
   * still runs after @p aTimeout. */
  std::optional<int> Wait(std::chrono::milliseconds aTimeout);

  /** Ends it at once, as a crash does. */
  void Kill();

  /** Asks it to end and waits. @return as Wait(). */
  std::optional<int> Terminate(std::chrono::milliseconds aTimeout);

private:
  pid_t m_pid = -1;
  std::optional<int> m_exitCode;
};

} // namespace mulberrysail::testsupport
