#pragma once

#include <cstdint>
#include <string_view>

namespace mulberrysail::core {

/** @return the score of candidate @p aName for @p aKey; the candidate with the
 * highest score is ranked first. */
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aName);

} // namespace mulberrysail::core
