#pragma once

#include "core/types/eventcode.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mulberrysail::telemetry {

/** Lines of one kind that were left out. */
struct SuppressedLines
{
  core::EventCode m_code;
  std::uint64_t m_lines = 0;
};

/**
 * Bounds how many lines of each kind are logged in a second, so that a flood of
 * one kind hides no other. Not thread-safe.
 */
class LogRateLimiter
{
public:
  /** @param aLinesPerSecond lines of one kind; zero for no limit. */
  explicit LogRateLimiter(std::uint32_t aLinesPerSecond)
    : m_linesPerSecond(aLinesPerSecond)
  {
  }

  /** @return whether a line of @p aCode may be logged in this second. */
  bool TryAcquire(core::EventCode aCode, std::uint64_t aSecond);

  /** @return what was left out in seconds before @p aSecond; told once. */
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
