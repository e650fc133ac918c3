#pragma once

#include <algorithm>
#include <cstdint>

namespace mulberrysail::core {

/** The resources that a task needs, or that a worker has. */
struct Resources
{
  std::uint32_t m_milliCores = 0;
  std::uint32_t m_memoryMb = 0;
  std::uint32_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;

  /** Raises each resource to that of @p aOther, if it is lower. */
  void RaiseTo(const Resources& aOther)
  {
    m_milliCores = std::max(m_milliCores, aOther.m_milliCores);
    m_memoryMb = std::max(m_memoryMb, aOther.m_memoryMb);
    m_accelerators = std::max(m_accelerators, aOther.m_accelerators);
  }

  /** @return whether @p aNeed exceeds none of these resources. */
  bool Fits(const Resources& aNeed) const
  {
    return aNeed.m_milliCores <= m_milliCores &&
           aNeed.m_memoryMb <= m_memoryMb &&
           aNeed.m_accelerators <= m_accelerators;
  }
};

} // namespace mulberrysail::core
