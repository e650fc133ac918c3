#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <random>

namespace mulberrysail::store {

/** Delays of retries: doubled each time up to a limit, and spread. */
class Backoff
{
public:
  explicit Backoff(std::uint32_t aSeed);

  /** @return the delay before the next try: between half of the current limit
   * and the whole. */
  core::Duration Next();

  void Reset();

private:
  std::minstd_rand m_random;
  core::Duration m_limit;
};

} // namespace mulberrysail::store
