#include "ctl/internal/explainer.h"

#include "ctl/internal/logline.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace mulberrysail::ctl {

namespace {

/** Width of the columns of processes and events. */
constexpr int kProcessWidth = 24;
constexpr int kEventWidth = 22;

std::vector<LogLine>
ReadAll(const std::vector<std::string>& aLogs)
{
  std::vector<LogLine> lines;
  for (const std::string& log : aLogs) {
    std::istringstream text(log);
    for (std::string line; std::getline(text, line);) {
      if (std::optional<LogLine> read = ReadLogLine(line)) {
        lines.push_back(std::move(*read));
      }
    }
  }
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.m_time < aRight.m_time;
                   });
  return lines;
}

/** @return whether @p aLineId is the id, or that of a task of its job. */
bool
Concerns(const std::string& aLineId, const std::string& aId)
{
  return aLineId == aId || aLineId.starts_with(aId + ".");
}

/** @return whether a line about no single piece of work falls into the span of
 * @p aOwn and was said by a process that had to do with it. */
bool
IsAround(const LogLine& aLine,
         const std::vector<const LogLine*>& aOwn,
         const std::set<std::string>& aProcesses)
{
  return aLine.m_id.empty() && aProcesses.count(aLine.m_process) > 0 &&
         aLine.m_time >= aOwn.front()->m_time &&
         aLine.m_time <= aOwn.back()->m_time;
}

/** @return whether the entry gave the answer, as far as the lines tell. */
bool
IsAnswered(const std::vector<const LogLine*>& aOwn)
{
  return std::any_of(aOwn.begin(), aOwn.end(), [](const LogLine* aLine) {
    return aLine->m_event == "submission-answered" ||
           aLine->m_event == "submission-failed" ||
           aLine->m_event == "submission-refused";
  });
}

/** @return the first start of each process after the last line of @p aOwn: a
 * process that was lost says nothing at its end. */
std::vector<const LogLine*>
StartsAfter(const std::vector<LogLine>& aLines,
            const std::vector<const LogLine*>& aOwn,
            std::set<std::string> aProcesses)
{
  std::vector<const LogLine*> starts;
  for (const LogLine& line : aLines) {
    if (line.m_event == "process-started" &&
        line.m_time > aOwn.back()->m_time &&
        aProcesses.erase(line.m_process) > 0) {
      starts.push_back(&line);
    }
  }
  return starts;
}

void
Print(std::ostream& aOut, const LogLine& aLine, bool aAround)
{
  aOut << aLine.m_time << (aAround ? " * " : "   ") << std::left
       << std::setw(kProcessWidth) << aLine.m_process << ' '
       << std::setw(kEventWidth) << aLine.m_event;
  if (!aLine.m_id.empty()) {
    aOut << ' ' << aLine.m_id;
  }
  aOut << ' ' << aLine.m_detail << '\n';
}

} // namespace

ExitCode
Explain(const ExplainCommand& aCommand,
        std::ostream& aOut,
        std::ostream& aErrors)
{
  const std::vector<LogLine> lines = ReadAll(aCommand.m_logs);
  std::vector<const LogLine*> own;
  std::set<std::string> processes;
  for (const LogLine& line : lines) {
    if (Concerns(line.m_id, aCommand.m_id)) {
      own.push_back(&line);
      processes.insert(line.m_process);
    }
  }
  if (own.empty()) {
    aErrors << "mulberryctl: none of " << lines.size() << " log lines names "
            << aCommand.m_id << '\n';
    return ExitCode::NotRun;
  }
  for (const LogLine& line : lines) {
    const bool around = IsAround(line, own, processes);
    if (around || Concerns(line.m_id, aCommand.m_id)) {
      Print(aOut, line, around);
    }
  }
  if (!IsAnswered(own)) {
    for (const LogLine* start : StartsAfter(lines, own, processes)) {
      Print(aOut, *start, true);
    }
  }
  return ExitCode::Done;
}

} // namespace mulberrysail::ctl
