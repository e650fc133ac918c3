#pragma once

#include "telemetry/eventlevel.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace mulberrysail::telemetry {

/** What became of the lines that a process wanted to log. */
struct LogCounters
{
  std::uint64_t m_written = 0;
  /** Left out, as there were too many of their kind. */
  std::uint64_t m_suppressed = 0;
  /** Dropped, as whoever reads them was too slow. */
  std::uint64_t m_dropped = 0;
};

/** Takes finished lines. Thread-safe; never blocks its caller. */
class ILogOutput
{
public:
  virtual ~ILogOutput() = default;

  /** @return whether lines of @p aLevel are wanted. */
  virtual bool IsEnabled(EventLevel aLevel) const = 0;

  /** Changes which lines are wanted. */
  virtual void SetMinLevel(EventLevel aLevel) = 0;

  /** @param aFields name=value pairs; time and level are put before them. */
  virtual void Write(EventLevel aLevel, std::string_view aFields) = 0;

  /** @return lines written and dropped. */
  virtual LogCounters Counters() const = 0;
};

/**
 * Writes to a descriptor from a thread of its own. Lines wait in a queue of a
 * fixed size, the oldest go first when it is full, and what the descriptor
 * doesn't take is dropped and counted.
 * @param aMinLevel the least severe level that is written.
 */
std::unique_ptr<ILogOutput>
MakeLogOutput(int aDescriptor, EventLevel aMinLevel);

} // namespace mulberrysail::telemetry
