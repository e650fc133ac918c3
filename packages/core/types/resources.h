#pragma once

#include <cstdint>

namespace mulberrysail::core {

/** The resources that a task needs, or that a worker has. */
struct Resources
{
  std::uint32_t m_milliCores = 0;
  std::uint32_t m_memoryMb = 0;
  std::uint32_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;

  /** @return whether @p aNeed exceeds none of these resources. */
  bool Fits(const Resources& aNeed) const
  {
    return aNeed.m_milliCores <= m_milliCores &&
           aNeed.m_memoryMb <= m_memoryMb &&
           aNeed.m_accelerators <= m_accelerators;
  }
};

} // namespace mulberrysail::core
