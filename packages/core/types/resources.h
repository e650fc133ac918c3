#pragma once

#include <cstdint>

namespace mulberrysail::core {

/** What a task takes of a worker, or what a worker has. */
struct Resources
{
  std::uint32_t m_milliCores = 0;
  std::uint32_t m_memoryMb = 0;
  std::uint32_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;

  /** @return whether @p aNeed is no larger than this in any part. */
  bool Fits(const Resources& aNeed) const
  {
    return aNeed.m_milliCores <= m_milliCores &&
           aNeed.m_memoryMb <= m_memoryMb &&
           aNeed.m_accelerators <= m_accelerators;
  }
};

} // namespace mulberrysail::core
