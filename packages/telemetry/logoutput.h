#pragma once

#include "telemetry/eventlevel.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace mulberrysail::telemetry {

/** Counts the lines that a process logged, by outcome. */
struct LogCounters
{
  std::uint64_t m_written = 0;
  /** Not written, as they exceeded the rate limit of their event code; the
   * metric is log_lines_left_out. */
  std::uint64_t m_suppressed = 0;
  /** Discarded, as the reader of the log was too slow. */
  std::uint64_t m_dropped = 0;
};

/** Destination of formatted log lines. Thread-safe; never blocks the caller. */
class ILogOutput
{
public:
  virtual ~ILogOutput() = default;

  /** @return whether lines of @p aLevel are written. */
  virtual bool IsEnabled(EventLevel aLevel) const = 0;

  /** Sets the least severe level that is written. */
  virtual void SetMinLevel(EventLevel aLevel) = 0;

  /** Writes a line.
   * @param aFields name=value pairs; time and level are prepended. */
  virtual void Write(EventLevel aLevel, std::string_view aFields) = 0;

  /** @return the number of lines written and dropped. */
  virtual LogCounters Counters() const = 0;
};

/**
 * Creates an output that writes to a descriptor from its own thread. Lines are
 * queued in a buffer of fixed size; when it is full, the oldest are dropped.
 * Lines that the descriptor does not accept are dropped too. All dropped lines
 * are counted.
 * @param aDescriptor the descriptor to write to; stays open and owned by the
 * caller.
 * @param aMinLevel the least severe level that is written.
 */
std::unique_ptr<ILogOutput>
MakeLogOutput(int aDescriptor, EventLevel aMinLevel);

} // namespace mulberrysail::telemetry
