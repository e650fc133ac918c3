#include "core/types/zonedrains.h"

#include <xxhash.h>

namespace mulberrysail::core {

std::uint64_t
ZoneDrains::Digest() const
{
  std::string text;
  for (const std::string& zone : m_zones) {
    text += zone;
    text += '\0';
  }
  return m_zones.empty() ? 0 : XXH3_64bits(text.data(), text.size());
}

} // namespace mulberrysail::core
