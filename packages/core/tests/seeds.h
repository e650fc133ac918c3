#pragma once

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace mulberrysail::core {

/** Plays seeds from 1 to @p aCount, or the one that MULBERRYSAIL_SEED names. A
 * failure names its seed. */
template<typename Player>
void
ForEachSeed(std::uint32_t aCount, const Player& aPlay)
{
  const char* const replayed = std::getenv("MULBERRYSAIL_SEED");
  const std::uint32_t first =
    replayed == nullptr
      ? 1
      : static_cast<std::uint32_t>(std::strtoul(replayed, nullptr, 10));
  const std::uint32_t last = replayed == nullptr ? aCount : first;
  for (std::uint32_t seed = first; seed <= last; ++seed) {
    try {
      aPlay(seed);
    } catch (const CppUnit::Exception& error) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + error.what());
    }
  }
}

} // namespace mulberrysail::core
