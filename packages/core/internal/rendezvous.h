#pragma once

#include <cstdint>
#include <string_view>

namespace mulberrysail::core {

/** @return the weight of @p aName for @p aKey; the highest wins the key. */
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aName);

} // namespace mulberrysail::core
