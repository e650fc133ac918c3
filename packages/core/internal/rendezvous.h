#pragma once

#include <cstdint>
#include <string_view>

namespace mulberrysail::core {

/** @return the weight of candidate @p aName for @p aKey; the key is assigned
 * to the candidate with the highest weight. */
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aName);

} // namespace mulberrysail::core
