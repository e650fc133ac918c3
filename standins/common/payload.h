#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::standins {

/** What a payload asks of the stand-in that runs it. */
struct Payload
{
  std::chrono::milliseconds m_run{ 0 };
  bool m_fail = false;
  /** The process that runs it crashes after this time; never if absent. */
  std::optional<std::chrono::milliseconds> m_crashAfter;
  /** Its "id" or else its "echo"; text as it is, other values as JSON. */
  std::string m_id;
  /** What it takes of a worker, if that differs from what was declared. */
  std::optional<double> m_actualCores;
  std::optional<std::uint32_t> m_actualMemoryMb;
};

/** Reads a payload; one that is no JSON object asks nothing.
 * @throws std::exception if a known field is of the wrong type. */
Payload
ParsePayload(std::string_view aText);

} // namespace mulberrysail::standins
