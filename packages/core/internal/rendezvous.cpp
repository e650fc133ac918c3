#include "core/internal/rendezvous.h"

#include "core/iagent.h"

#include <xxhash.h>

#include <algorithm>

namespace mulberrysail::core {

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aName)
{
  return XXH64(aName.data(), aName.size(), XXH64(aKey.data(), aKey.size(), 0));
}

std::vector<std::size_t>
RendezvousRank(std::string_view aKey, const std::vector<std::string>& aNames)
{
  std::vector<std::size_t> order(aNames.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return RendezvousScore(aKey, aNames[aLeft]) >
             RendezvousScore(aKey, aNames[aRight]);
    });
  return order;
}

} // namespace mulberrysail::core
