#pragma once

#include "core/types/eventcode.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mulberrysail::telemetry {

/** Number of suppressed lines of one event code. */
struct SuppressedLines
{
  core::EventCode m_code;
  std::uint64_t m_lines = 0;
};

/**
 * Limits the log lines of each event code per second, so that many events of
 * one code don't hide the others. Not thread-safe.
 */
class LogRateLimiter
{
public:
  /** @param aLinesPerSecond lines of each event code; zero for no limit. */
  explicit LogRateLimiter(std::uint32_t aLinesPerSecond)
    : m_linesPerSecond(aLinesPerSecond)
  {
  }

  /** Counts a line as allowed or suppressed.
   * @param aSecond the current wall time in seconds since 1970.
   * @return whether a line of @p aCode may be logged in this second. */
  bool TryAcquire(core::EventCode aCode, std::uint64_t aSecond);

  /** @return the lines suppressed in seconds before @p aSecond; each is
   * returned only once. */
  std::vector<SuppressedLines> TakeSuppressedBefore(std::uint64_t aSecond);

private:
  struct KindCounts
  {
    std::uint32_t m_allowed = 0;
    std::uint64_t m_suppressed = 0;
  };

  void StartSecond(std::uint64_t aSecond);

  const std::uint32_t m_linesPerSecond;
  std::uint64_t m_second = 0;
  std::map<core::EventCode, KindCounts> m_kinds;
  std::vector<SuppressedLines> m_unreported;
};

} // namespace mulberrysail::telemetry
