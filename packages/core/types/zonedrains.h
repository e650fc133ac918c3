#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::core {

/** The availability zones whose workers and endpoints get no work, on request
 * of an operator, as of one revision of the store. Processes pass it on as a
 * whole; a copy with a higher revision replaces one with a lower revision. */
struct ZoneDrains
{
  /** The store's revision from which the list was read; 0 if it was never
   * read. */
  std::uint64_t m_revision = 0;
  /** Sorted, without duplicates. */
  std::vector<std::string> m_zones;

  bool operator==(const ZoneDrains&) const = default;

  bool Contains(std::string_view aZone) const
  {
    return std::binary_search(m_zones.begin(), m_zones.end(), aZone);
  }

  /** @return a hash of m_zones, by which two processes compare their copies; 0
   * if no zone is drained. */
  std::uint64_t Digest() const;
};

} // namespace mulberrysail::core
