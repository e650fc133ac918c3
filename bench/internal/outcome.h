#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <string>

namespace mulberrysail::bench {

/** How one arrival was answered. */
struct Outcome
{
  bool m_answered = false;
  /** HTTP status; 0 if no answer was read. */
  int m_status = 0;
  /** Empty if complete. */
  std::string m_errorKind;
  /** From the time that it should have been sent. */
  core::Duration m_response{};
  /** How late the driver itself was. */
  core::Duration m_sentLate{};
  /** Whether a complete answer carried the caller's own payloads. */
  bool m_own = true;
};

} // namespace mulberrysail::bench
