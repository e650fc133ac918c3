#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::ctl {

/** One line of a log of mulberrysail. */
struct LogLine
{
  /** 2026-12-04T00:26:31.204518Z; lines sort by it. */
  std::string m_time;
  std::string m_level;
  std::string m_event;
  std::string m_process;
  std::string m_id;
  /** All that follows, as it stands there. */
  std::string m_detail;
};

/** Reads one line. What stands before its time, as log collectors put it
 * there, is skipped. @return nothing if it isn't one of mulberrysail's. */
std::optional<LogLine>
ReadLogLine(std::string_view aLine);

} // namespace mulberrysail::ctl
