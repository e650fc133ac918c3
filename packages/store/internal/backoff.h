#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <random>

namespace mulberrysail::store {

/** Exponential backoff with jitter: the upper limit of the delay doubles with
 * each retry up to a maximum. The jitter keeps processes from retrying at the
 * same time. */
class Backoff
{
public:
  /** @param aMaxDelay the maximum delay. */
  Backoff(std::uint32_t aSeed, core::Duration aMaxDelay);

  /** @return the delay before the next attempt, a random value between half of
   * the current limit and the whole limit. */
  core::Duration Next();

  void Reset();

private:
  std::minstd_rand m_random;
  const core::Duration m_maxDelay;
  core::Duration m_currentLimit;
};

} // namespace mulberrysail::store
