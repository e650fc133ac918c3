#pragma once

#include "core/types/crash.h"

#include <cstdint>
#include <deque>

namespace mulberrysail::core::agent {

/** A crash of a worker, and when the agent detected it. */
struct RecordedCrash
{
  WorkerCrash m_crash;
  Instant m_detectedAt;
};

struct CrashSection
{
  /** Recent crashes, the oldest first. */
  std::deque<RecordedCrash> m_crashes;
  std::uint64_t m_lastNumber = 0;
};

} // namespace mulberrysail::core::agent
