#pragma once

#include <fstream>
#include <string>
#include <string_view>

namespace mulberrysail::standins {

/** What happened to one run. */
struct JournalEntry
{
  /** "start", or how it ended: "end", "fail", "stop", "lapse". */
  std::string_view m_event;
  std::string_view m_run;
  /** The caller's own mark of the work, from its payload. */
  std::string_view m_id;
};

/** The starts and ends of runs, each one JSON line, in a file and in memory. */
class Journal
{
public:
  /** @param aPath lines are appended there; no file if empty. */
  explicit Journal(const std::string& aPath);

  void Write(const JournalEntry& aEntry);

  /** @return all lines since the process began. */
  const std::string& Text() const { return m_text; }

private:
  std::ofstream m_file;
  std::string m_text;
};

} // namespace mulberrysail::standins
