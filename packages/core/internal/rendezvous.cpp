#include "core/iagent.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace mulberrysail::core {

std::vector<std::size_t>
RendezvousRank(std::string_view aKey, const std::vector<std::string>& aNames)
{
  const XXH64_hash_t keyHash = XXH3_64bits(aKey.data(), aKey.size());
  std::vector<XXH64_hash_t> weights;
  weights.reserve(aNames.size());
  for (const std::string& name : aNames) {
    weights.push_back(XXH3_64bits_withSeed(name.data(), name.size(), keyHash));
  }
  std::vector<std::size_t> ranked(aNames.size());
  std::iota(ranked.begin(), ranked.end(), std::size_t{ 0 });
  std::sort(
    ranked.begin(), ranked.end(), [&](std::size_t aLeft, std::size_t aRight) {
      if (weights[aLeft] != weights[aRight]) {
        return weights[aLeft] > weights[aRight];
      }
      return aNames[aLeft] < aNames[aRight];
    });
  return ranked;
}

} // namespace mulberrysail::core
