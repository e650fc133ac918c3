#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <random>

namespace mulberrysail::store {

/** Delays of retries: doubled each time up to a limit, and spread. */
class Backoff
{
public:
  /** @param aLimit of the delays. */
  Backoff(std::uint32_t aSeed, core::Duration aLimit);

  /** @return the delay before the next try: between half of the current limit
   * and the whole. */
  core::Duration Next();

  void Reset();

private:
  std::minstd_rand m_random;
  const core::Duration m_maxDelay;
  core::Duration m_currentLimit;
};

} // namespace mulberrysail::store
